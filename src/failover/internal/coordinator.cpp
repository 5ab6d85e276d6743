// Coordination of a change of primary.

#include "failover/internal/coordinator.h"

#include "failover/internal/suspicion.h"
#include "protocol/changeid.h"

#include <utility>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration PlatformTimeout = 1s;
constexpr Duration RaiseTimeout = 300ms;
constexpr Duration PromoteTimeout = 1s;
constexpr Duration RecordRetryInterval = 500ms;
/// An order whose update is not settled by then is given up; if it takes effect later, it is resumed.
constexpr Duration OrderPatience = 5s;
/// The acknowledgement window of other proxies runs on their clocks; this covers the drift of their rates.
constexpr int WaitNumerator = 11;
constexpr int WaitDenominator = 10;

std::string termText(const Promotion &promotion) { return std::to_string(promotion.Next.Term); }

void logStep(Context &ctx, const Promotion &promotion, std::string step) {
  ctx.emit(Log{LogLevel::Info,
               "promotion: " + step,
               {{"database", promotion.Next.Database.str()},
                {"term", termText(promotion)},
                {"primary", promotion.Next.Primary.str()},
                {"why", promotion.Why}}});
  ctx.record({"promotion", promotion.Next.Database, std::move(step), promotion.Why, promotion.Next.Term, 0});
}

void putGroup(Context &ctx, FailoverState &state, Promotion &promotion) {
  auto call = ctx.call(Module::Failover);
  promotion.PlatformCall = call;
  state.Calls[call] = promotion.Next.Database;
  ctx.emit(PlatformCall{
      call, PlatformTimeout,
      PutObject{groupKey(promotion.Next.Database), promotion.Next.Version, formatGroup(promotion.Next)}});
}

void broadcast(Context &ctx, const FailoverServices &services, const Group &group) {
  for (const auto &it : services.Members.live())
    if (it.Node != ctx.Self.Node)
      ctx.emit(
          SendToPeer{it.Node, ObjectChanged{groupKey(group.Database), group.Version, formatGroup(group)}});
}

void sendRaise(Context &ctx, FailoverState &state, Promotion &promotion, const GroupView &view) {
  for (const auto &server : view.Group.Servers) {
    if (promotion.Raised.contains(server.Target) || promotion.RaiseCalls.contains(server.Target))
      continue;
    auto call = ctx.call(Module::Failover);
    promotion.RaiseCalls[server.Target] = call;
    state.Calls[call] = promotion.Next.Database;
    ctx.emit(ControlCall{call, server.Target, RaiseTimeout, RaiseTerm{promotion.Next.Term}});
  }
}

void enterRaise(Context &ctx, FailoverState &state, Promotion &promotion, const GroupView &view) {
  promotion.State = Promotion::Phase::Raise;
  logStep(ctx, promotion, "ordered");
  sendRaise(ctx, state, promotion, view);
}

void enterWait(Context &ctx, const FailoverServices &services, Promotion &promotion) {
  promotion.State = Promotion::Phase::Wait;
  auto window = services.Policies.databasePolicy(promotion.Next.Database).AckWindow;
  promotion.WaitUntil = ctx.Now;
  if (ctx.Rules.NoStalePrimaryAck)
    promotion.WaitUntil += window * WaitNumerator / WaitDenominator;
  logStep(ctx, promotion, "majority raised");
}

void sendPromote(Context &ctx, FailoverState &state, DatabaseFailover &db, const GroupView &view) {
  auto &promotion = *db.Promotion;
  db.PromoteSent = promotion.Next.Term;
  promotion.State = Promotion::Phase::Promote;
  promotion.Chosen = chooseTarget(view.Group, promotion.Raised, view.Targets);
  auto call = ctx.call(Module::Failover);
  promotion.PromoteCall = call;
  state.Calls[call] = promotion.Next.Database;
  ctx.emit(ControlCall{call, promotion.Chosen, PromoteTimeout, Promote{promotion.Next.Term}});
}

void enterRecord(Context &ctx, FailoverServices &services, FailoverState &state, Promotion &promotion,
                 const TargetStatus &status) {
  auto &next = promotion.Next;
  next.State = Group::Phase::Done;
  next.Primary = promotion.Chosen;
  next.History = status.History;
  promotion.State = Promotion::Phase::Record;
  logStep(ctx, promotion, "promoted");
  ctx.emit(Count{"promotions_total"});
  ctx.emit(Observe{"promotion_duration", ctx.Now - promotion.StartedAt});
  services.Groups.update(ctx, next);
  broadcast(ctx, services, next);
  putGroup(ctx, state, promotion);
}

/// A failed promotion must not be repeated on another server under the same term: the first may have become
/// primary. The next attempt orders a higher term.
void giveUp(Context &ctx, DatabaseFailover &db, std::string_view why) {
  ctx.emit(Count{"promotions_given_up_total"});
  ctx.record(
      {"promotion", db.Promotion->Next.Database, "given up", std::string(why), db.Promotion->Next.Term, 0});
  db.Promotion.reset();
  db.EligibleSince.reset();
  db.NextRead = ctx.Now;
}

void onOrderRead(Context &ctx, FailoverState &state, DatabaseFailover &db, const Group &group,
                 const GroupView &view) {
  auto &promotion = *db.Promotion;
  if (group.ChangeId == promotion.Next.ChangeId) {
    ctx.emit(CountRetry{RetryReason::StoreFailure});
    promotion.Next.Version = group.Version;
    promotion.PlatformCall.reset();
    enterRaise(ctx, state, promotion, view);
    return;
  }
  if (group.Version != promotion.Next.Version) {
    ctx.emit(CountRetry{RetryReason::StoreConflict});
    giveUp(ctx, db, "another proxy changed the group first");
    return;
  }
  if (promotion.ReadBack && !promotion.PlatformCall) {
    // Same contents and change id: if the first update still arrives, one of the two conflicts harmlessly.
    promotion.ReadBack = false;
    putGroup(ctx, state, promotion);
  }
}

} // namespace

std::string groupKey(const DatabaseId &database) { return "groups/" + database.str(); }

void startPromotion(Context &ctx, FailoverState &state, DatabaseFailover &db, const GroupView &view,
                    const std::string &why) {
  Promotion promotion;
  promotion.Next = view.Group;
  promotion.Next.Term = view.Group.Term + 1;
  promotion.Next.State = Group::Phase::Ordered;
  promotion.Next.Orderer = ctx.Self.Node;
  promotion.Next.ChangeId = makeChangeId(ctx);
  promotion.Why = why;
  promotion.StartedAt = ctx.Now;
  db.Promotion = std::move(promotion);
  putGroup(ctx, state, *db.Promotion);
  ctx.emit(Count{"promotions_started_total"});
}

void resumePromotion(Context &ctx, FailoverState &state, DatabaseFailover &db, const GroupView &view) {
  Promotion promotion;
  promotion.Next = view.Group;
  promotion.Why = "the order took effect late";
  promotion.StartedAt = ctx.Now;
  db.Promotion = std::move(promotion);
  enterRaise(ctx, state, *db.Promotion, view);
}

void drivePromotion(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseFailover &db) {
  auto &promotion = *db.Promotion;
  const auto *view = services.Groups.find(promotion.Next.Database);
  if (view == nullptr)
    return;
  if (view->Group.Term > promotion.Next.Term) {
    giveUp(ctx, db, "a higher term is known");
    return;
  }
  switch (promotion.State) {
  case Promotion::Phase::Order:
    if (ctx.Now > promotion.StartedAt + OrderPatience)
      giveUp(ctx, db, "the platform did not confirm the order");
    else if (promotion.ReadBack && !db.Read && ctx.Now >= db.NextRead)
      db.NextRead = ctx.Now;
    break;
  case Promotion::Phase::Raise:
  case Promotion::Phase::Wait:
    sendRaise(ctx, state, promotion, *view);
    if (promotion.State == Promotion::Phase::Wait && ctx.Now >= promotion.WaitUntil)
      sendPromote(ctx, state, db, *view);
    break;
  case Promotion::Phase::Promote:
    break;
  case Promotion::Phase::Record:
    if (!promotion.PlatformCall && ctx.Now >= promotion.RetryAt)
      putGroup(ctx, state, promotion);
    break;
  }
}

void onGroupRead(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseFailover &db,
                 const Group &group) {
  const auto *view = services.Groups.find(group.Database);
  if (view == nullptr)
    return;
  if (!db.Promotion) {
    // The restarted node's change ids hold its new incarnation, so an order of an earlier life is not
    // resumed.
    const auto own = changeIdPrefix(ctx);
    if (group.State == Group::Phase::Ordered && group.Term == view->Group.Term &&
        view->Group.State == Group::Phase::Ordered && group.ChangeId.starts_with(own) &&
        group.Term > db.PromoteSent &&
        ctx.Now - view->ChangedAt < services.Policies.databasePolicy(group.Database).TakeoverAfter)
      resumePromotion(ctx, state, db, *view);
    return;
  }
  auto &promotion = *db.Promotion;
  if (promotion.State == Promotion::Phase::Order) {
    onOrderRead(ctx, state, db, group, *view);
  } else if (promotion.State == Promotion::Phase::Record && !promotion.PlatformCall) {
    bool recorded = group.Term > promotion.Next.Term ||
                    (group.Term == promotion.Next.Term && group.State == Group::Phase::Done);
    if (recorded) {
      db.Promotion.reset();
      return;
    }
    promotion.Next.Version = group.Version;
    putGroup(ctx, state, promotion);
  }
}

bool onPromotionPut(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseFailover &db,
                    const PlatformAnswer &event) {
  if (!db.Promotion || db.Promotion->PlatformCall != event.Call)
    return false;
  auto &promotion = *db.Promotion;
  promotion.PlatformCall.reset();
  if (const auto *done = std::get_if<PutDone>(&event.Result)) {
    promotion.Next.Version = done->Version;
    services.Groups.update(ctx, promotion.Next);
    if (promotion.State == Promotion::Phase::Order) {
      if (const auto *view = services.Groups.find(promotion.Next.Database))
        enterRaise(ctx, state, promotion, *view);
    } else {
      logStep(ctx, promotion, "recorded");
      broadcast(ctx, services, promotion.Next);
      db.Promotion.reset();
    }
    return true;
  }
  ctx.emit(CountRetry{std::holds_alternative<PutConflict>(event.Result) ? RetryReason::StoreConflict
                                                                        : RetryReason::StoreFailure});
  promotion.ReadBack = true;
  promotion.RetryAt = ctx.Now + RecordRetryInterval;
  db.NextRead = ctx.Now;
  return true;
}

bool onPromotionControl(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseFailover &db,
                        const ControlAnswer &event) {
  if (!db.Promotion)
    return false;
  auto &promotion = *db.Promotion;
  const auto *status = std::get_if<TargetStatus>(&event.Result);
  const auto *failure = std::get_if<ControlFailure>(&event.Result);
  if (promotion.PromoteCall == event.Call) {
    promotion.PromoteCall.reset();
    if (status != nullptr && status->Role == TargetRole::Primary)
      enterRecord(ctx, services, state, promotion, *status);
    else
      giveUp(ctx, db, "the chosen server did not confirm its promotion");
    return true;
  }
  auto it = promotion.RaiseCalls.find(event.Target);
  if (it == promotion.RaiseCalls.end() || it->second != event.Call)
    return false;
  promotion.RaiseCalls.erase(it);
  if (failure != nullptr && failure->Error == ControlError::Refused) {
    giveUp(ctx, db, "a server knows a higher term");
    return true;
  }
  if (status == nullptr || status->RaisedTerm != promotion.Next.Term)
    return true;
  promotion.Raised[event.Target] = *status;
  if (promotion.State == Promotion::Phase::Raise && promotion.Raised.size() >= promotion.Next.majority())
    enterWait(ctx, services, promotion);
  return true;
}

} // namespace rosemaryhinge::detail

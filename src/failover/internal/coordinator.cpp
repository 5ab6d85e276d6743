// Executes the steps of a promotion.

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
/// An order that the store has not confirmed by then is aborted. It is resumed if it takes effect later.
constexpr Duration OrderTimeout = 5s;
/// Margin on the acknowledgement window, which other proxies measure on their own clocks: covers clock drift.
constexpr int WaitMarginNumerator = 11;
constexpr int WaitMarginDenominator = 10;

std::string formatTerm(const Promotion &promotion) { return std::to_string(promotion.NewGroup.Term); }

void logStep(Context &ctx, const Promotion &promotion, std::string step) {
  ctx.emit(Log{LogLevel::Info,
               "promotion: " + step,
               {{"database", promotion.NewGroup.Database.str()},
                {"term", formatTerm(promotion)},
                {"primary", promotion.NewGroup.Primary.str()},
                {"why", promotion.Reason}}});
  ctx.record({"promotion", promotion.NewGroup.Database, std::move(step), promotion.Reason,
              promotion.NewGroup.Term, 0});
}

void putGroup(Context &ctx, FailoverState &state, Promotion &promotion) {
  auto call = ctx.call(Module::Failover);
  promotion.PlatformCall = call;
  state.Calls[call] = promotion.NewGroup.Database;
  ctx.emit(PlatformCall{call, PlatformTimeout,
                        PutObject{groupKey(promotion.NewGroup.Database), promotion.NewGroup.Version,
                                  formatGroup(promotion.NewGroup)}});
}

void broadcast(Context &ctx, const FailoverServices &services, const Group &group) {
  for (const auto &it : services.Members.live())
    if (it.Node != ctx.Self.Node)
      ctx.emit(
          SendToPeer{it.Node, ObjectChanged{groupKey(group.Database), group.Version, formatGroup(group)}});
}

void sendRaise(Context &ctx, FailoverState &state, Promotion &promotion, const GroupView &view) {
  for (const auto &server : view.Group.Servers) {
    if (promotion.RaisedStatuses.contains(server.Target) || promotion.RaiseCalls.contains(server.Target))
      continue;
    auto call = ctx.call(Module::Failover);
    promotion.RaiseCalls[server.Target] = call;
    state.Calls[call] = promotion.NewGroup.Database;
    ctx.emit(ControlCall{call, server.Target, RaiseTimeout, RaiseTerm{promotion.NewGroup.Term}});
  }
}

void enterRaise(Context &ctx, FailoverState &state, Promotion &promotion, const GroupView &view) {
  promotion.State = Promotion::Phase::Raise;
  logStep(ctx, promotion, "ordered");
  sendRaise(ctx, state, promotion, view);
}

void enterWait(Context &ctx, const FailoverServices &services, Promotion &promotion) {
  promotion.State = Promotion::Phase::Wait;
  auto window = services.Policies.databasePolicy(promotion.NewGroup.Database).AckWindow;
  promotion.WaitUntil = ctx.Now;
  if (ctx.Rules.NoStalePrimaryAck)
    promotion.WaitUntil += window * WaitMarginNumerator / WaitMarginDenominator;
  logStep(ctx, promotion, "majority raised");
}

void sendPromote(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view) {
  auto &promotion = *db.Promotion;
  db.HighestPromotedTerm = promotion.NewGroup.Term;
  promotion.State = Promotion::Phase::Promote;
  promotion.Candidate = chooseTarget(view.Group, promotion.RaisedStatuses, view.Targets);
  auto call = ctx.call(Module::Failover);
  promotion.PromoteCall = call;
  state.Calls[call] = promotion.NewGroup.Database;
  ctx.emit(ControlCall{call, promotion.Candidate, PromoteTimeout, Promote{promotion.NewGroup.Term}});
}

void enterRecord(Context &ctx, FailoverServices &services, FailoverState &state, Promotion &promotion,
                 const TargetStatus &status) {
  auto &next = promotion.NewGroup;
  next.State = Group::Phase::Done;
  next.Primary = promotion.Candidate;
  next.History = status.History;
  promotion.State = Promotion::Phase::Record;
  logStep(ctx, promotion, "promoted");
  ctx.emit(Count{"promotions_total"});
  ctx.emit(Observe{"promotion_duration", ctx.Now - promotion.StartedAt});
  services.Groups.update(ctx, next);
  broadcast(ctx, services, next);
  putGroup(ctx, state, promotion);
}

/// Ends the promotion without success. It must not be repeated on another server under the same term, because
/// the first may have become primary. The next attempt orders a higher term.
void abortPromotion(Context &ctx, DatabaseState &db, std::string_view why) {
  ctx.emit(Count{"promotions_given_up_total"});
  ctx.record({"promotion", db.Promotion->NewGroup.Database, "given up", std::string(why),
              db.Promotion->NewGroup.Term, 0});
  db.Promotion.reset();
  db.EligibleSince.reset();
  db.NextReadAt = ctx.Now;
}

void onOrderRead(Context &ctx, FailoverState &state, DatabaseState &db, const Group &group,
                 const GroupView &view) {
  auto &promotion = *db.Promotion;
  if (group.ChangeId == promotion.NewGroup.ChangeId) {
    ctx.emit(CountRetry{RetryReason::StoreFailure});
    promotion.NewGroup.Version = group.Version;
    promotion.PlatformCall.reset();
    enterRaise(ctx, state, promotion, view);
    return;
  }
  if (group.Version != promotion.NewGroup.Version) {
    ctx.emit(CountRetry{RetryReason::StoreConflict});
    abortPromotion(ctx, db, "another proxy changed the group first");
    return;
  }
  if (promotion.OutcomeUnknown && !promotion.PlatformCall) {
    // The retry has the same contents and change id. If the first update still arrives, one of the two fails
    // with a conflict, which does no harm.
    promotion.OutcomeUnknown = false;
    putGroup(ctx, state, promotion);
  }
}

} // namespace

std::string groupKey(const DatabaseId &database) { return "groups/" + database.str(); }

void startPromotion(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view,
                    const std::string &why) {
  Promotion promotion;
  promotion.NewGroup = view.Group;
  promotion.NewGroup.Term = view.Group.Term + 1;
  promotion.NewGroup.State = Group::Phase::Ordered;
  promotion.NewGroup.Orderer = ctx.Self.Node;
  promotion.NewGroup.ChangeId = makeChangeId(ctx);
  promotion.Reason = why;
  promotion.StartedAt = ctx.Now;
  db.Promotion = std::move(promotion);
  putGroup(ctx, state, *db.Promotion);
  ctx.emit(Count{"promotions_started_total"});
}

void resumePromotion(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view) {
  Promotion promotion;
  promotion.NewGroup = view.Group;
  promotion.Reason = "the order took effect late";
  promotion.StartedAt = ctx.Now;
  db.Promotion = std::move(promotion);
  enterRaise(ctx, state, *db.Promotion, view);
}

void advancePromotion(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db) {
  auto &promotion = *db.Promotion;
  const auto *view = services.Groups.find(promotion.NewGroup.Database);
  if (view == nullptr)
    return;
  if (view->Group.Term > promotion.NewGroup.Term) {
    abortPromotion(ctx, db, "a higher term is known");
    return;
  }
  switch (promotion.State) {
  case Promotion::Phase::Order:
    if (ctx.Now > promotion.StartedAt + OrderTimeout)
      abortPromotion(ctx, db, "the platform did not confirm the order");
    else if (promotion.OutcomeUnknown && !db.ReadCall && ctx.Now >= db.NextReadAt)
      db.NextReadAt = ctx.Now;
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

void onGroupRead(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                 const Group &group) {
  const auto *view = services.Groups.find(group.Database);
  if (view == nullptr)
    return;
  if (!db.Promotion) {
    // Change ids contain the incarnation, so orders from before a restart of this proxy are not resumed.
    const auto own = changeIdPrefix(ctx);
    if (group.State == Group::Phase::Ordered && group.Term == view->Group.Term &&
        view->Group.State == Group::Phase::Ordered && group.ChangeId.starts_with(own) &&
        group.Term > db.HighestPromotedTerm &&
        ctx.Now - view->ChangedAt < services.Policies.databasePolicy(group.Database).TakeoverAfter)
      resumePromotion(ctx, state, db, *view);
    return;
  }
  auto &promotion = *db.Promotion;
  if (promotion.State == Promotion::Phase::Order) {
    onOrderRead(ctx, state, db, group, *view);
  } else if (promotion.State == Promotion::Phase::Record && !promotion.PlatformCall) {
    bool recorded = group.Term > promotion.NewGroup.Term ||
                    (group.Term == promotion.NewGroup.Term && group.State == Group::Phase::Done);
    if (recorded) {
      db.Promotion.reset();
      return;
    }
    promotion.NewGroup.Version = group.Version;
    putGroup(ctx, state, promotion);
  }
}

bool onPromotionPut(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                    const PlatformAnswer &event) {
  if (!db.Promotion || db.Promotion->PlatformCall != event.Call)
    return false;
  auto &promotion = *db.Promotion;
  promotion.PlatformCall.reset();
  if (const auto *done = std::get_if<PutDone>(&event.Result)) {
    promotion.NewGroup.Version = done->Version;
    services.Groups.update(ctx, promotion.NewGroup);
    if (promotion.State == Promotion::Phase::Order) {
      if (const auto *view = services.Groups.find(promotion.NewGroup.Database))
        enterRaise(ctx, state, promotion, *view);
    } else {
      logStep(ctx, promotion, "recorded");
      broadcast(ctx, services, promotion.NewGroup);
      db.Promotion.reset();
    }
    return true;
  }
  ctx.emit(CountRetry{std::holds_alternative<PutConflict>(event.Result) ? RetryReason::StoreConflict
                                                                        : RetryReason::StoreFailure});
  promotion.OutcomeUnknown = true;
  promotion.RetryAt = ctx.Now + RecordRetryInterval;
  db.NextReadAt = ctx.Now;
  return true;
}

bool onPromotionControl(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
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
      abortPromotion(ctx, db, "the chosen server did not confirm its promotion");
    return true;
  }
  auto it = promotion.RaiseCalls.find(event.Target);
  if (it == promotion.RaiseCalls.end() || it->second != event.Call)
    return false;
  promotion.RaiseCalls.erase(it);
  if (failure != nullptr && failure->Error == ControlError::Refused) {
    abortPromotion(ctx, db, "a server knows a higher term");
    return true;
  }
  if (status == nullptr || status->RaisedTerm != promotion.NewGroup.Term)
    return true;
  promotion.RaisedStatuses[event.Target] = *status;
  if (promotion.State == Promotion::Phase::Raise &&
      promotion.RaisedStatuses.size() >= promotion.NewGroup.majority())
    enterWait(ctx, services, promotion);
  return true;
}

} // namespace rosemaryhinge::detail

// Dispatches the events of a proxy whose callers keep sessions.

#include "reducer/internal/sessionevents.h"

#include "base/overloaded.h"
#include "protocol/eventinterface.h"
#include "protocol/storerevision.h"

#include <algorithm>
#include <array>

namespace rosemaryhinge::detail {

namespace {

class SessionEventHandler {
public:
  SessionEventHandler(State &state, Context &ctx)
      : S(state), Ctx(ctx), SessionDeps{state.Catalog,   state.Links,   state.Fleet,
                                        state.Positions, state.Lenders, state.Quota},
        LeadershipDeps{state.Catalog, state.Links, state.Sessions, state.Fleet, state.Directory, state.Era},
        LendingDeps{state.Catalog, state.Links},
        DirectoryDeps{state.Catalog, state.Fleet}, QuotaDeps{state.Catalog, state.Fleet, state.Era} {}

  void operator()(const Started &) {
    S.Fleet.onStarted(Ctx);
    S.Directory.onStarted(Ctx, DirectoryDeps);
  }

  void operator()(const TimerFired &) {
    const auto changes = S.Catalog.changeCount();
    S.Directory.onTimer(Ctx, DirectoryDeps);
    S.Fleet.onTimer(Ctx);
    S.Links.setFleet(S.Fleet.size(), S.Fleet.zones());
    S.Links.onTimer(Ctx, S.Catalog);
    S.Lender.onTimer(Ctx, LendingDeps);
    S.Quota.onTimer(Ctx, QuotaDeps);
    backOffFromSilentLenders();
    S.Sessions.onTimer(Ctx, SessionDeps);
    if (const auto next = S.Leadership.nextTimer(); !next || Ctx.Now >= *next)
      S.Leadership.onTimer(Ctx, LeadershipDeps);
    notifySessionsIfCatalogChanged(changes);
    checkDrain();
  }

  void operator()(const ShutdownRequested &) {
    S.Sessions.startLeaving(Ctx, SessionDeps);
    S.Leadership.startLeaving();
    S.Lender.startLeaving();
    S.Quota.startLeaving(Ctx, QuotaDeps);
    checkDrain();
  }

  void operator()(const CallerConnected &event) { S.Sessions.onConnected(Ctx, event); }
  void operator()(const AcceptingStopped &) {
    S.Sessions.onAcceptingStopped();
    checkDrain();
  }
  void operator()(const SessionOpened &event) { S.Sessions.onOpened(Ctx, SessionDeps, event); }
  void operator()(const StatementArrived &event) { S.Sessions.onStatement(Ctx, SessionDeps, event); }
  void operator()(const SessionClosed &event) { S.Sessions.onClosed(Ctx, SessionDeps, event); }

  void operator()(const LinkOpened &event) {
    S.Links.onOpened(Ctx, event.Link);
    S.Sessions.onCapacity(Ctx, SessionDeps);
  }

  void operator()(const LinkClosed &event) {
    const auto closed = S.Links.onClosed(Ctx, event);
    if (!closed)
      return;
    const auto changes = S.Catalog.changeCount();
    if (event.Why == LinkFailure::Misrouted)
      S.Catalog.onMisrouted(closed->Target, Ctx.Now);
    if (closed->User.ForPrimaryChange)
      S.Leadership.onLinkClosed(*closed, event.Link);
    else if (closed->User.Loan != 0)
      S.Lender.onLinkClosed(Ctx, *closed);
    else
      S.Sessions.onLinkClosed(Ctx, SessionDeps, *closed);
    notifySessionsIfCatalogChanged(changes);
  }

  void operator()(const LinkReplied &event) {
    const auto changes = S.Catalog.changeCount();
    const auto reply = S.Links.onReply(Ctx, event);
    if (!reply)
      return;
    if (reply->User.ForPrimaryChange)
      S.Leadership.onReply(Ctx, LeadershipDeps, *reply, event);
    else if (reply->User.Loan != 0)
      S.Lender.onReply(Ctx, LendingDeps, *reply, event);
    else
      S.Sessions.onReply(Ctx, SessionDeps, *reply, event);
    if (reply->Last && reply->Step == LinkStep::End)
      S.Sessions.onCapacity(Ctx, SessionDeps);
    notifySessionsIfCatalogChanged(changes);
  }

  void operator()(const DirectoryAnswer &event) {
    observeEra(event.Era);
    if (event.Era > 0 && event.Era < S.Era.current()) {
      // What it tells was forgotten by the store since.
      (*this)(DirectoryAnswer{event.Call, DirectoryFailure{"the store was restored meanwhile"}});
      return;
    }
    const auto changes = S.Catalog.changeCount();
    if (event.Call.Owner == Module::Positions) {
      S.Fleet.onAnswer(Ctx, event);
      for (const auto &[service, position] : S.Fleet.reportedByEnded())
        S.Sessions.noteAcknowledged(service, position);
      S.Leadership.readStartupClaims(Ctx, LeadershipDeps);
      // The directory waits for the first list of proxies.
      S.Directory.onTimer(Ctx, DirectoryDeps);
    } else if (event.Call.Owner == Module::Quota) {
      S.Quota.onAnswer(Ctx, QuotaDeps, event);
    } else if (event.Call.Owner == Module::Leadership) {
      const bool held = S.Sessions.commitsHeld(S.Fleet);
      S.Leadership.onDirectoryAnswer(Ctx, LeadershipDeps, event);
      if (held && !S.Sessions.commitsHeld(S.Fleet))
        S.Sessions.onCapacity(Ctx, SessionDeps);
    } else {
      S.Directory.onAnswer(Ctx, DirectoryDeps, event);
    }
    notifySessionsIfCatalogChanged(changes);
    if (S.Drain.leaving())
      checkDrain();
  }

  void operator()(const PromotionAnswer &event) {
    S.Leadership.onPromotionAnswer(Ctx, LeadershipDeps, event);
  }

  void operator()(const PeerReceived &event) {
    std::visit([&](const auto &it) { onMessage(event.From, it); }, event.Message);
  }
  void operator()(const PeerLost &event) {
    S.Directory.onPeerLost(Ctx, DirectoryDeps, event.Node);
    S.Positions.onPeerLost(Ctx, event.Node);
    S.Leadership.onPeerLost(event.Node);
    S.Lender.onPeerLost(Ctx, LendingDeps, event.Node);
    S.Quota.onPeerLost(Ctx, event.Node);
    const auto borrowed = S.Links.lentBy(event.Node);
    if (!borrowed.empty())
      S.Lenders.backOff(event.Node, Ctx.Now);
    for (const auto &link : borrowed) {
      // The peer may still be running, with only the connection to it lost. LoanEnd then makes it close the
      // server connection, on which an answer may still be outstanding.
      Ctx.emit(SendToPeer{event.Node, LoanEnd{{S.Incarnation, link.Value}, LoanEndReason::Doubtful}});
      (*this)(LinkClosed{link, LinkFailure::Lost});
    }
  }

  void operator()(const AdminRequest &) {}
  void operator()(const WallClockRead &) {}
  /// An event of sessions without a handler does not compile.
  template <typename T>
  requires(RequestEvents::Has<T>) void operator()(const T &) {}

  /// Asks for the tokens that operations wait for, and starts or refuses those that are decided.
  void admitByQuota() {
    S.Quota.sendRequests(Ctx, QuotaDeps);
    for (auto decisions = S.Quota.takeDecisions(); !decisions.empty(); decisions = S.Quota.takeDecisions()) {
      for (const auto &it : decisions)
        S.Sessions.onQuotaDecision(Ctx, SessionDeps, it);
      S.Quota.sendRequests(Ctx, QuotaDeps);
    }
  }

private:
  void onMessage(const NodeId &from, const ChangesRequest &message) {
    S.Directory.onRequest(Ctx, DirectoryDeps, from, message);
  }
  void onMessage(const NodeId &from, const ChangesReply &message) {
    observeEra(storeEra(message.Revision));
    const auto changes = S.Catalog.changeCount();
    S.Directory.onReply(Ctx, DirectoryDeps, from, message);
    notifySessionsIfCatalogChanged(changes);
  }
  void onMessage(const NodeId &from, const PositionRequest &message) {
    S.Sessions.onPositionRequest(Ctx, SessionDeps, from, message);
  }
  void onMessage(const NodeId &from, const PositionReply &message) {
    S.Sessions.onPositionReply(Ctx, SessionDeps, from, message);
  }
  void onMessage(const NodeId &from, const QuotaRequest &message) {
    S.Quota.onRequest(Ctx, QuotaDeps, from, message);
  }
  void onMessage(const NodeId &from, const QuotaReply &message) {
    S.Quota.onReply(Ctx, QuotaDeps, from, message);
  }
  void onMessage(const NodeId &from, const QuotaHandover &message) { S.Quota.onHandover(Ctx, from, message); }
  void onMessage(const NodeId &from, const CommitFenceRequest &message) {
    S.Leadership.onFenceRequest(Ctx, LeadershipDeps, from, message);
  }
  void onMessage(const NodeId &from, const CommitFenceReply &message) {
    S.Leadership.onFenceReply(Ctx, LeadershipDeps, from, message);
  }
  void onMessage(const NodeId &, const CommitFenceEnd &message) {
    S.Leadership.onFenceEnd(LeadershipDeps, message);
  }
  void onMessage(const NodeId &from, const LoanRequest &message) {
    S.Lender.onRequest(Ctx, LendingDeps, from, message);
  }
  void onMessage(const NodeId &from, const LoanCommands &message) {
    S.Lender.onCommands(Ctx, LendingDeps, from, message);
  }
  void onMessage(const NodeId &from, const LoanQueued &message) {
    if (const auto link = borrowedLink(from, message.Loan))
      S.Links.onQueued(Ctx, *link);
  }
  void onMessage(const NodeId &from, const LoanGrant &message) {
    const auto link = borrowedLink(from, message.Loan);
    if (!link) {
      Ctx.emit(SendToPeer{from, LoanEnd{message.Loan, LoanEndReason::Returned}});
      return;
    }
    (*this)(LinkOpened{*link});
    S.Links.returnUnused(Ctx, *link);
  }
  void onMessage(const NodeId &from, const LoanReply &message) {
    if (const auto link = borrowedLink(from, message.Loan))
      (*this)(LinkReplied{*link, message.Outcome, message.State, message.At, std::nullopt});
  }
  void onMessage(const NodeId &from, const LoanEnd &message) {
    S.Lender.onEnd(Ctx, LendingDeps, from, message);
    const auto link = borrowedLink(from, message.Loan);
    if (!link)
      return;
    if (message.Why == LoanEndReason::Refused)
      S.Lenders.backOff(from, Ctx.Now);
    const auto why = message.Why == LoanEndReason::Silent    ? LinkFailure::Timeout
                     : message.Why == LoanEndReason::Refused ? LinkFailure::TooMany
                                                             : LinkFailure::Lost;
    (*this)(LinkClosed{*link, why});
  }
  template <typename T> void onMessage(const NodeId &, const T &) {}

  /// The link of a loan, if the sender is its lender and this process requested it. A loan of a previous
  /// process of this node has another incarnation.
  std::optional<LinkId> borrowedLink(const NodeId &from, const LoanId &loan) {
    const LinkId link{loan.Number};
    const bool own = loan.Incarnation == S.Incarnation && S.Links.lenderOf(link) == from;
    return own ? std::optional(link) : std::nullopt;
  }

  /// Handles a restoration of the store if an answer names a later era than the known one.
  void observeEra(std::uint64_t era) {
    const auto before = S.Era.current();
    if (!S.Era.observe(era, Ctx.Now))
      return;
    Ctx.emit(Count{"store_restorations_total"});
    Ctx.emit(Log{LogLevel::Warn,
                 "store restored",
                 {{"era", std::to_string(era)}, {"era_before", std::to_string(before)}}});
    S.Fleet.onStoreRestored(Ctx);
    S.Quota.onStoreRestored(Ctx.Now);
    S.Leadership.onStoreRestored(Ctx, LeadershipDeps);
  }

  void backOffFromSilentLenders() {
    const auto silent = S.Links.abandonUnansweredRequests(Ctx);
    for (const auto &it : silent) {
      S.Lenders.backOff(it, Ctx.Now);
      Ctx.emit(Log{LogLevel::Warn, "lender does not answer", {{"peer", it.str()}}});
    }
    if (!silent.empty())
      S.Sessions.onCapacity(Ctx, SessionDeps);
  }

  void notifySessionsIfCatalogChanged(std::uint64_t before) {
    if (S.Catalog.changeCount() != before)
      S.Sessions.onCapacity(Ctx, SessionDeps);
  }
  void checkDrain() {
    const auto others = S.Lender.loans() + (S.Leadership.changeInProgress() ? 1 : 0);
    S.Sessions.stopAcceptingIfDrained(Ctx, others > 0);
    const std::size_t sessions = S.Sessions.isDrained() ? 0 : 1;
    if (S.Drain.leaving() && sessions + others == 0 && !S.Fleet.leaving()) {
      LeadershipModule::handOverPositions(Ctx, LeadershipDeps);
      S.Fleet.startLeaving(Ctx, S.Sessions.acknowledged());
    }
    S.Drain.completeIfDone(Ctx, sessions + others, S.Fleet.left(Ctx.Now), true);
  }

  State &S;
  Context &Ctx;
  SessionServices SessionDeps;
  LeadershipServices LeadershipDeps;
  LendingServices LendingDeps;
  DirectoryServices DirectoryDeps;
  QuotaServices QuotaDeps;
};

} // namespace

void onSessionEvent(State &state, Context &ctx, const Event &event) {
  state.Sessions.onEvent(ctx);
  SessionEventHandler handler(state, ctx);
  std::visit(handler, event);
  handler.admitByQuota();
  state.Sessions.closeAnswered(ctx);
  LendingServices lending{state.Catalog, state.Links};
  state.Lender.onCapacity(ctx, lending);
}

std::optional<TimePoint> nextSessionTimer(const State &state) {
  const std::array<std::optional<TimePoint>, 8> times = {
      state.Directory.nextTimer(),  state.Links.nextTimer(), state.Sessions.nextTimer(),
      state.Leadership.nextTimer(), state.Drain.nextTimer(), state.Lender.nextTimer(),
      state.Fleet.nextTimer(),      state.Quota.nextTimer()};
  std::optional<TimePoint> out;
  for (const auto &it : times)
    if (it && (!out || *it < *out))
      out = it;
  return out;
}

} // namespace rosemaryhinge::detail

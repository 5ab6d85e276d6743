// Events of callers with sessions.

#include "reducer/internal/sessionevents.h"

#include "base/overloaded.h"

#include <algorithm>
#include <array>

namespace rosemaryhinge::detail {

namespace {

class Handler {
public:
  Handler(State &state, Context &ctx)
      : S(state), Ctx(ctx), Services{state.Catalog, state.Links, state.Fleet, state.Positions},
        Leaders{state.Catalog, state.Links, state.Sessions} {}

  void operator()(const Started &) {
    S.Directory.onStarted(Ctx);
    S.Fleet.onStarted(Ctx);
  }

  void operator()(const TimerFired &) {
    const auto changes = S.Catalog.changes();
    S.Directory.onTimer(Ctx, S.Catalog);
    S.Fleet.onTimer(Ctx);
    S.Links.setFleetSize(S.Fleet.size());
    S.Links.onTimer(Ctx, S.Catalog);
    S.Sessions.onTimer(Ctx, Services);
    if (const auto next = S.Leadership.nextTimer(); !next || Ctx.Now >= *next)
      S.Leadership.onTimer(Ctx, Leaders);
    capacityIfChanged(changes);
    checkDrain();
  }

  void operator()(const ShutdownRequested &) {
    S.Sessions.startLeaving(Ctx, Services);
    S.Leadership.startLeaving();
    S.Fleet.startLeaving(Ctx);
    checkDrain();
  }

  void operator()(const SessionOpened &event) { S.Sessions.onOpened(Ctx, Services, event); }
  void operator()(const StatementArrived &event) { S.Sessions.onStatement(Ctx, Services, event); }
  void operator()(const SessionClosed &event) { S.Sessions.onClosed(Ctx, Services, event); }

  void operator()(const LinkOpened &event) {
    S.Links.onOpened(Ctx, event.Link);
    S.Sessions.onCapacity(Ctx, Services);
  }

  void operator()(const LinkClosed &event) {
    const auto closed = S.Links.onClosed(Ctx, event);
    if (!closed)
      return;
    if (closed->User.ForOrders)
      S.Leadership.onLinkClosed(Ctx, Leaders, *closed, event.Link);
    else
      S.Sessions.onLinkClosed(Ctx, Services, *closed);
  }

  void operator()(const LinkReplied &event) {
    const auto changes = S.Catalog.changes();
    const auto reply = S.Links.onReply(Ctx, event);
    if (!reply)
      return;
    if (reply->User.ForOrders)
      S.Leadership.onReply(Ctx, Leaders, *reply, event);
    else
      S.Sessions.onReply(Ctx, Services, *reply, event);
    if (reply->Last && reply->Step == LinkStep::End)
      S.Sessions.onCapacity(Ctx, Services);
    capacityIfChanged(changes);
  }

  void operator()(const DirectoryAnswer &event) {
    const auto changes = S.Catalog.changes();
    if (event.Call.Owner == Module::Positions)
      S.Fleet.onAnswer(Ctx, event);
    else if (event.Call.Owner == Module::Leadership)
      S.Leadership.onDirectoryAnswer(Ctx, Leaders, event);
    else
      S.Directory.onAnswer(Ctx, S.Catalog, event);
    capacityIfChanged(changes);
  }

  void operator()(const PromotionAnswer &event) { S.Leadership.onPromotionAnswer(Ctx, Leaders, event); }

  void operator()(const PeerReceived &event) {
    if (const auto *request = std::get_if<PositionRequest>(&event.Message))
      S.Sessions.onPositionRequest(Ctx, Services, event.From, *request);
    else if (const auto *reply = std::get_if<PositionReply>(&event.Message))
      S.Sessions.onPositionReply(Ctx, Services, event.From, *reply);
  }
  void operator()(const PeerLost &event) { S.Positions.onPeerLost(Ctx, event.Node); }

  template <typename T> void operator()(const T &) {}

private:
  void capacityIfChanged(std::uint64_t before) {
    if (S.Catalog.changes() != before)
      S.Sessions.onCapacity(Ctx, Services);
  }
  void checkDrain() { S.Drain.check(Ctx, S.Sessions.size() + (S.Leadership.changing() ? 1 : 0), true, true); }

  State &S;
  Context &Ctx;
  SessionServices Services;
  LeadershipServices Leaders;
};

} // namespace

void onSessionEvent(State &state, Context &ctx, const Event &event) {
  std::visit(Handler(state, ctx), event);
}

std::optional<TimePoint> nextSessionTimer(const State &state) {
  const std::array<std::optional<TimePoint>, 5> times = {
      state.Directory.nextTimer(), state.Links.nextTimer(), state.Sessions.nextTimer(),
      state.Leadership.nextTimer(), state.Drain.nextTimer()};
  std::optional<TimePoint> out;
  for (const auto &it : times)
    if (it && (!out || *it < *out))
      out = it;
  return out;
}

} // namespace rosemaryhinge::detail

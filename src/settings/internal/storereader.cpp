// Start and watch of the settings object.

#include "settings/internal/storereader.h"

#include "membership/rendezvous.h"
#include "settings/internal/acceptance.h"
#include "settings/internal/spreader.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration ReadTimeout = 2s;
constexpr Duration WatchTimeout = 30s;
constexpr Duration MinBackoff = 200ms;
constexpr Duration MaxBackoff = 5s;
constexpr std::size_t WatchersPerRegion = 3;
constexpr Duration DutyInterval = 1s;
/// A proxy that has just started knows few members and would take itself for a watcher.
constexpr Duration FirstDuty = 3s;
/// Members are asked only after the store had a chance to answer.
constexpr Duration AskMembersAfter = 1s;
constexpr Duration QueryPatience = 3s;
constexpr Duration PushPatience = 5s;
/// A push of the proxy that wrote the change arrives within this time; then the first watcher pushes, and the
/// others in turn unless a push has come.
constexpr Duration SpreadDelay = 50ms;
constexpr Duration SpreadStep = 150ms;
constexpr Duration PullDelay = 300ms;
constexpr Duration PullInterval = 500ms;

Duration nextBackoff(Duration last) { return std::clamp(last * 2, MinBackoff, MaxBackoff); }

/// Random wait between half and the whole backoff, so that proxies do not call the store in step.
Duration jittered(Context &ctx, Duration backoff) {
  return backoff / 2 + ctx.jitter(backoff / 2 + Duration(1));
}

/// All watchers in one order that every proxy sees alike.
std::vector<NodeId> watchers(const IMembers &members) {
  std::map<Region, std::vector<Member>> regions;
  for (auto &it : members.live())
    if (!it.Leaving)
      regions[it.Region].push_back(it);
  std::vector<NodeId> out;
  for (const auto &[region, list] : regions) {
    auto first = rendezvousFirst(SettingsKey, list, WatchersPerRegion);
    out.insert(out.end(), first.begin(), first.end());
  }
  std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
    return rendezvousWeight(SettingsKey, a) > rendezvousWeight(SettingsKey, b);
  });
  return out;
}

void scheduleSpread(SettingsState &state, Context &ctx, const IMembers &members) {
  if (state.PushSeen >= state.Current.Revision)
    return;
  auto order = watchers(members);
  auto rank = std::find(order.begin(), order.end(), ctx.Self.Node) - order.begin();
  state.SpreadAt = ctx.Now + SpreadDelay + SpreadStep * rank;
}

void onStartAnswer(SettingsState &state, Context &ctx, const PlatformAnswer &event) {
  state.StartCall.reset();
  if (state.Ready)
    return;
  if (const auto *value = std::get_if<ObjectValue>(&event.Result)) {
    acceptObject(state, ctx, *value, "store");
    if (state.Current.Revision > 0) {
      state.Ready = true;
      state.NextStartRead.reset();
      return;
    }
    ctx.emit(Log{LogLevel::Warn, "the store holds no usable settings; store a tree in settings/tree", {}});
  } else {
    ctx.emit(CountRetry{RetryReason::StoreFailure});
  }
  // Also where the object is absent or unusable, the members may have a revision in force.
  state.StoreFailed = true;
  state.StartBackoff = nextBackoff(state.StartBackoff);
  state.NextStartRead = ctx.Now + jittered(ctx, state.StartBackoff);
}

void onWatchAnswer(SettingsState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event) {
  state.WatchCall.reset();
  const auto *value = std::get_if<ObjectValue>(&event.Result);
  if (value == nullptr) {
    state.WatchBackoff = nextBackoff(state.WatchBackoff);
    state.NextWatch = ctx.Now + jittered(ctx, state.WatchBackoff);
    ctx.emit(CountRetry{RetryReason::StoreFailure});
    return;
  }
  state.WatchBackoff = {};
  state.NextWatch = ctx.Now;
  if (acceptObject(state, ctx, *value, "watch"))
    scheduleSpread(state, ctx, members);
  if (state.Current.Revision > 0)
    state.Ready = true;
}

void renewWatch(SettingsState &state, Context &ctx, const IMembers &members) {
  if (state.WatchCall || ctx.Now < state.NextWatch || !state.NextDuty || ctx.Now < *state.NextDuty)
    return;
  auto order = watchers(members);
  if (std::find(order.begin(), order.end(), ctx.Self.Node) == order.end()) {
    state.NextDuty = ctx.Now + DutyInterval;
    return;
  }
  state.WatchCall = ctx.call(Module::Settings);
  auto above = std::max(state.SeenVersion, state.Current.Version);
  ctx.emit(PlatformCall{*state.WatchCall, WatchTimeout, WatchObject{std::string(SettingsKey), above}});
}

/// With the store down, the highest revision of a majority of the known members is safe to use.
void askMembers(SettingsState &state, Context &ctx, const IMembers &members) {
  auto live = members.live().size();
  if (state.Ready || !state.StoreFailed || live < 2 || ctx.Now < state.StartedAt + AskMembersAfter)
    return;
  auto it = state.Rounds.find(state.StartRound);
  if (it == state.Rounds.end()) {
    state.StartRound = startQuery(state, ctx, members, QueryPatience);
    return;
  }
  const auto &reports = it->second.Reports;
  if (reports.size() <= live / 2)
    return;
  auto highest = std::max_element(reports.begin(), reports.end(), [](const auto &a, const auto &b) {
    return a.second.Revision < b.second.Revision;
  });
  if (highest->second.Revision == 0)
    return;
  state.StartRevision = highest->second.Revision;
  if (state.Current.Revision < state.StartRevision)
    ctx.emit(SendToPeer{highest->first, SettingsRequest{state.Current.Revision}});
  state.Rounds.erase(it);
  checkReady(state, ctx);
}

} // namespace

void startReading(SettingsState &state, Context &ctx) {
  state.StartedAt = ctx.Now;
  state.NextDuty = ctx.Now + FirstDuty;
  state.NextWatch = ctx.Now;
  state.StartCall = ctx.call(Module::Settings);
  ctx.emit(PlatformCall{*state.StartCall, ReadTimeout, GetObject{std::string(SettingsKey)}});
}

bool onStoreAnswer(SettingsState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event) {
  if (event.Call == state.StartCall)
    onStartAnswer(state, ctx, event);
  else if (event.Call == state.WatchCall)
    onWatchAnswer(state, ctx, members, event);
  else
    return false;
  acknowledgePending(state, ctx);
  return true;
}

void checkStore(SettingsState &state, Context &ctx, const IMembers &members) {
  if (!state.Ready && state.NextStartRead && ctx.Now >= *state.NextStartRead) {
    state.NextStartRead.reset();
    state.StartCall = ctx.call(Module::Settings);
    ctx.emit(PlatformCall{*state.StartCall, ReadTimeout, GetObject{std::string(SettingsKey)}});
  }
  askMembers(state, ctx, members);
  renewWatch(state, ctx, members);
  if (state.SpreadAt && ctx.Now >= *state.SpreadAt) {
    state.SpreadAt.reset();
    if (state.PushSeen < state.Current.Revision)
      startPush(state, ctx, members, PushPatience);
  }
  if (state.Pull && ctx.Now >= state.Pull->second) {
    auto peer = state.Pull->first;
    state.Pull.reset();
    state.PullFreeAt = ctx.Now + PullInterval;
    ctx.emit(Count{"settings_pulls_total"});
    ctx.emit(SendToPeer{peer, SettingsRequest{state.Current.Revision}});
  }
}

void considerPull(SettingsState &state, Context &ctx, const NodeId &from, std::uint64_t revision) {
  if (revision <= state.Current.Revision || state.Pull || ctx.Now < state.PullFreeAt)
    return;
  state.Pull = {from, ctx.Now + PullDelay};
}

void checkReady(SettingsState &state, Context &ctx) {
  if (state.Ready || state.StartRevision == 0 || state.Current.Revision < state.StartRevision)
    return;
  state.Ready = true;
  state.NextStartRead.reset();
  ctx.emit(Log{LogLevel::Warn,
               "store down at the start; took the highest revision of a majority of members",
               {{"revision", std::to_string(state.Current.Revision)}}});
}

std::optional<TimePoint> earliestStore(const SettingsState &state) {
  std::optional<TimePoint> out;
  auto add = [&](std::optional<TimePoint> due) {
    if (due && (!out || *due < *out))
      out = due;
  };
  if (!state.Ready)
    add(state.NextStartRead);
  if (!state.WatchCall && state.NextDuty)
    add(std::max(*state.NextDuty, state.NextWatch));
  add(state.SpreadAt);
  if (state.Pull)
    add(state.Pull->second);
  return out;
}

} // namespace rosemaryhinge::detail

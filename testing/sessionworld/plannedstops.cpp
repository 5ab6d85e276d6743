// Planned stops of proxies, and callers that keep their sessions in steady use meanwhile.

#include "sessionworld/world.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration MaxRestartInterval = 4s;
constexpr Duration ProcessStartTime = 300ms;
constexpr std::size_t SteadyCallerCount = 8;
/// Callers pause for less than this between two statements.
constexpr Duration MaxThinkTime = 80ms;
/// Time after which the load balancer sends no sessions to a proxy that is not ready.
constexpr Duration BalancerTime = 2s;
constexpr double WriteShare = 0.1;
/// Callers that connect to a proxy while it stops, and the longest time until they start their session.
constexpr std::size_t LateCallerCount = 40;
constexpr Duration MaxStartDelay = 200ms;

} // namespace

TimePoint World::planRestarts() {
  auto at = Queue.now();
  if (Options.Restarts == 0)
    return at;
  SteadyCallers.resize(SteadyCallerCount);
  for (std::size_t n = 0; n < SteadyCallers.size(); ++n)
    openSteady(n);
  for (std::size_t n = 0; n < Options.Restarts; ++n) {
    at += PlannedRandom.between(200ms, MaxRestartInterval);
    Queue.at(at, [this] { restartProxy(); });
  }
  return at;
}

void World::restartProxy() {
  const auto place = PlannedRandom.below(Live.size());
  const auto proxy = Live[place];
  auto &it = *Proxies[proxy];
  if (it.Paused || it.Ended || it.StoppedAt || Proxies.size() >= MaxProcesses)
    return;
  it.StoppedAt = Queue.now();
  ++Result.Restarts;
  deliver(proxy, ShutdownRequested{});
  for (std::size_t n = 0; n < LateCallerCount; ++n)
    Queue.after(PlannedRandom.between(0ms, it.Logic.Self.ShutdownGrace),
                [this, proxy] { connectLate(proxy); });
  Queue.after(it.Logic.Self.ShutdownGrace, [this, proxy] { endProxy(proxy); });
}

void World::endProxy(std::size_t proxy) {
  auto &it = *Proxies[proxy];
  if (std::exchange(it.Ended, true))
    return;
  for (auto link = Links.begin(); link != Links.end();) {
    if (link->first.first == proxy) {
      Cluster.closeLink(atServers(proxy, link->first.second));
      link = Links.erase(link);
    } else {
      ++link;
    }
  }
  checkLateCallers(proxy);
  reportLostPeer(proxy);
  for (auto &caller : SteadyCallers) {
    if (caller.Proxy != proxy || caller.Session.Value == 0)
      continue;
    // A frozen process cannot answer before it is killed.
    if (it.Paused)
      caller.Statement.clear();
    onSessionClosedByProxy(caller.Session);
  }
  const auto place = std::find(Live.begin(), Live.end(), proxy) - Live.begin();
  Queue.after(ProcessStartTime, [this, place] { addProxy(static_cast<std::size_t>(place)); });
}

void World::openSteady(std::size_t caller) {
  std::vector<std::size_t> places;
  for (const auto &it : Live)
    if (const auto &one = *Proxies[it];
        !one.Ended && !(one.StoppedAt && Queue.now() - *one.StoppedAt >= BalancerTime))
      places.push_back(it);
  if (places.empty()) {
    Queue.after(ProcessStartTime, [this, caller] { openSteady(caller); });
    return;
  }
  auto &it = SteadyCallers[caller];
  it.Proxy = places[PlannedRandom.below(places.size())];
  it.Session = SessionId{++LastNumber};
  it.Statement.clear();
  deliver(it.Proxy, CallerConnected{it.Session});
  deliver(it.Proxy, SessionOpened{it.Session, "settle", {}});
}

void World::sendSteady(std::size_t caller, SessionId session) {
  auto &it = SteadyCallers[caller];
  if (it.Session != session)
    return;
  const bool write = PlannedRandom.chance(WriteShare);
  it.Statement = (write ? "w" : "r") + std::to_string(++LastNumber);
  Running[it.Statement] = {it.Statement, write, true, Queue.now()};
  const auto mode = write ? AccessMode::Write : AccessMode::Read;
  deliver(it.Proxy, StatementArrived{session, {it.Statement, it.Statement, DataStatement{mode}}});
}

void World::onSessionAccepted(SessionId session) {
  for (std::size_t n = 0; n < SteadyCallers.size(); ++n)
    if (SteadyCallers[n].Session == session)
      Queue.after(1ms, [this, n, session] { sendSteady(n, session); });
  if (const auto it = LateCallers.find(session); it != LateCallers.end())
    Queue.after(1ms, [this, session, caller = it->second] {
      if (!LateCallers.contains(session))
        return;
      Running[caller.Statement] = {caller.Statement, false, true, Queue.now()};
      deliver(
          caller.Proxy,
          StatementArrived{session, {caller.Statement, caller.Statement, DataStatement{AccessMode::Read}}});
    });
}

void World::onSessionClosedByProxy(SessionId session) {
  if (const auto it = LateCallers.find(session); it != LateCallers.end()) {
    if (Running.contains(it->second.Statement))
      Result.Violations.push_back("a late session was closed while statement " + it->second.Statement +
                                  " was in progress");
    LateCallers.erase(it);
  }
  for (std::size_t n = 0; n < SteadyCallers.size(); ++n) {
    auto &it = SteadyCallers[n];
    if (it.Session != session)
      continue;
    if (!it.Statement.empty())
      Result.Violations.push_back("a session was closed while statement " + it.Statement +
                                  " was in progress");
    it.Session = {};
    Queue.after(1ms, [this, n] { openSteady(n); });
  }
}

void World::connectLate(std::size_t proxy) {
  const auto &it = *Proxies[proxy];
  if (it.Ended || it.Paused || !it.Accepting)
    return;
  const SessionId session{++LastNumber};
  LateCallers[session] = {proxy, "l" + std::to_string(session.Value)};
  deliver(proxy, CallerConnected{session});
  Queue.after(PlannedRandom.between(1ms, MaxStartDelay), [this, proxy, session] {
    if (LateCallers.contains(session))
      deliver(proxy, SessionOpened{session, "settle", {}});
  });
}

void World::checkLateCallers(std::size_t proxy) {
  for (auto it = LateCallers.begin(); it != LateCallers.end();) {
    if (it->second.Proxy != proxy) {
      ++it;
      continue;
    }
    // A frozen process cannot answer before it is killed.
    if (!Proxies[proxy]->Paused)
      Result.Violations.push_back("a process ended while caller " + it->second.Statement + " was connected");
    it = LateCallers.erase(it);
  }
}

bool World::answerSteady(SessionId session) {
  if (LateCallers.erase(session) > 0)
    ++Result.LateAnswers;
  const auto it = std::find_if(SteadyCallers.begin(), SteadyCallers.end(),
                               [&](const auto &one) { return one.Session == session; });
  if (it == SteadyCallers.end())
    return false;
  ++Result.SteadyAnswers;
  it->Statement.clear();
  const auto n = static_cast<std::size_t>(it - SteadyCallers.begin());
  Queue.after(PlannedRandom.between(5ms, MaxThinkTime), [this, n, session] { sendSteady(n, session); });
  return true;
}

} // namespace rosemaryhinge::sessionworld

// Simulated platform with proxies that keep sessions.

#include "sessionworld/world.h"

#include "base/overloaded.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr std::size_t ProxyCount = 3;
constexpr Duration RequestInterval = 8ms;
constexpr Duration FaultInterval = 2500ms;
constexpr Duration QuietTime = 14s;
constexpr Duration StartTime = 2s;
constexpr Duration MaxStaleness = 1500ms;
/// Bound on the orders and status queries of a proxy to a server. A change of primary queries every 20 ms at
/// most.
constexpr std::size_t MaxOrdersPerSecond = 100;
/// Distinguishes the draws of late orders from the others of a seed.
constexpr std::uint64_t OrderSeed = 0x9e3779b97f4a7c15;
/// The same of messages between proxies.
constexpr std::uint64_t PeerSeed = 0xd1b54a32d192ed03;

bool isOrder(const LinkCommand &command) {
  return std::holds_alternative<PauseReplica>(command) || std::holds_alternative<ResumeReplica>(command) ||
         std::holds_alternative<StepDownPrimary>(command);
}

bool isPromise(Rejection code) {
  return code == Rejection::Busy || code == Rejection::Aborted || code == Rejection::Lagging ||
         code == Rejection::ReadOnly || code == Rejection::Misrouted || code == Rejection::TooMany;
}

} // namespace

World::World(const WorldOptions &options)
    : Options(options), Random(options.Seed), OrderRandom(options.Seed ^ OrderSeed),
      PlannedRandom(~options.Seed), PeerRandom(options.Seed ^ PeerSeed), Cluster(Queue, options.Fencing),
      Store(Queue, Cluster, options.MaxConnections) {
  Cluster.OnTrace = [this](const std::string &line) { trace(line + describeAcknowledged()); };
  Cluster.OnEntryChanged = [this] { Store.publishServers(); };
  Store.publishServers();
  Live.resize(ProxyCount);
  // The nodes have been stopped as planned before, so that what they have reported is known of each.
  for (std::size_t n = 0; n < ProxyCount; ++n)
    Store.addEndedProxy(nodeOf(n));
  for (std::size_t n = 0; n < ProxyCount; ++n)
    addProxy(n);
}

NodeId World::nodeOf(std::size_t place) { return NodeId("n" + std::to_string(place)); }

void World::addProxy(std::size_t place) {
  Live[place] = Proxies.size();
  Proxies.push_back(std::make_unique<Proxy>());
  auto &self = Proxies.back()->Logic.Self;
  self.Node = nodeOf(place);
  self.AvailabilityZone = AvailabilityZone("z1");
  self.Region = Region("r1");
  if (Options.PeerLinks)
    self.PeerAddress = "10.0.1." + std::to_string(place + 1) + ":7000";
  self.Interface = CallerInterface::Sessions;
  self.PromotionFencing = Options.ProxiesExpectFencing;
  self.RegionByZone = {{AvailabilityZone("z1"), Region("r1")}};
  start(Live[place]);
}

void World::trace(const std::string &line) {
  Result.Log.push_back(std::to_string(Queue.now().time_since_epoch() / 1ms) + " " + line);
}

std::string World::describeAcknowledged() const {
  std::string out = " acknowledged up to:";
  for (const auto proxy : Live)
    if (const auto at = Proxies[proxy]->Logic.Sessions.acknowledgedUpTo(DatabaseId("yard")))
      out += " n" + std::to_string(proxy) + " " + std::to_string(at->Term) + "." + std::to_string(at->Lsn);
  return out;
}

void World::start(std::size_t proxy) { apply(proxy, Started{Random.next(), proxy + 1}); }

void World::deliver(std::size_t proxy, const Event &event) {
  auto &it = *Proxies[proxy];
  if (it.Ended)
    return;
  if (it.Paused)
    it.Held.push_back(event);
  else
    apply(proxy, event);
}

void World::apply(std::size_t proxy, const Event &event) {
  for (const auto &effect : reduce(Proxies[proxy]->Logic, event, Queue.now()))
    carryOut(proxy, effect);
  scheduleTimer(proxy);
}

void World::scheduleTimer(std::size_t proxy) {
  auto &it = *Proxies[proxy];
  const auto next = nextTimer(it.Logic);
  if (!next || (it.TimerAt && *it.TimerAt <= *next && *it.TimerAt > Queue.now()))
    return;
  const auto at = std::max(*next, Queue.now() + 1ms);
  it.TimerAt = at;
  Queue.at(at, [this, proxy, at] {
    auto &one = *Proxies[proxy];
    if (one.TimerAt != at || one.Paused || one.Ended)
      return;
    one.TimerAt.reset();
    apply(proxy, TimerFired{});
  });
}

void World::carryOut(std::size_t proxy, const Effect &effect) {
  std::visit(Overloaded{
                 [&](const OpenLink &it) { open(proxy, it); },
                 [&](const SendOnLink &it) { send(proxy, it); },
                 [&](const CloseLink &it) {
                   Cluster.closeLink(it.Link);
                   Links.erase({proxy, it.Link});
                 },
                 [&](const DirectoryCall &it) {
                   Store.call(it, [this, proxy](const DirectoryAnswer &answer) { deliver(proxy, answer); });
                 },
                 [&](const PromotionCall &it) {
                   ++Result.Promotions;
                   if (it.Token < HighestToken)
                     Result.Violations.push_back("an order was sent with a lower token than an earlier one");
                   HighestToken = std::max(HighestToken, it.Token);
                   if (delayPromotion(proxy, it))
                     return;
                   // An order may reach the platform late, and its answer may be lost.
                   const auto delay = Random.chance(0.1) ? Random.between(1s, 3s) : Duration(10ms);
                   Queue.after(delay, [this, proxy, it, delay] {
                     const bool taken = Cluster.promote(it.Target, it.Token);
                     if (delay < it.Timeout)
                       deliver(proxy,
                               PromotionAnswer{
                                   it.Call, taken ? PromotionResult::Accepted : PromotionResult::Fenced, ""});
                   });
                   if (delay >= it.Timeout)
                     Queue.after(it.Timeout, [this, proxy, it] {
                       deliver(proxy, PromotionAnswer{it.Call, PromotionResult::Unknown, ""});
                     });
                 },
                 [&](const SendToPeer &it) { sendToPeer(proxy, it); },
                 [&](const AnswerStatement &it) { onAnswer(proxy, it); },
                 [&](const AcceptSession &it) { onSessionAccepted(it.Session); },
                 [&](const RefuseSession &it) { onSessionClosedByProxy(it.Session); },
                 [&](const CloseSession &it) { onSessionClosedByProxy(it.Session); },
                 [&](const StopAccepting &) {
                   // Connections that the operating system has completed are accepted until then.
                   Queue.after(2ms, [this, proxy] {
                     Proxies[proxy]->Accepting = false;
                     deliver(proxy, AcceptingStopped{});
                   });
                 },
                 [&](const ShutdownComplete &) { endProxy(proxy); },
                 [&](const Log &it) {
                   if (it.Level < LogLevel::Warn)
                     return;
                   auto line = "n" + std::to_string(proxy) + " " + it.Message;
                   for (const auto &[key, value] : it.Fields)
                     line.append(" ").append(key).append("=").append(value);
                   trace(line);
                 },
                 [](const auto &) {},
             },
             effect);
}

void World::open(std::size_t proxy, const OpenLink &effect) {
  std::size_t index = 0;
  while (index < Cluster.servers().size() && Cluster.servers()[index].Address != effect.Address)
    ++index;
  Queue.after(5ms, [this, proxy, effect, index] {
    if (index >= Cluster.servers().size() || cutOff(proxy, index) || Proxies[proxy]->Ended)
      return;
    const auto &server = Cluster.servers()[index];
    if (!server.Up) {
      deliver(proxy, LinkClosed{effect.Link, LinkFailure::Refused});
    } else if (server.Id != effect.Target) {
      deliver(proxy, LinkClosed{effect.Link, LinkFailure::Misrouted});
    } else if (!acceptsConnection(index)) {
      deliver(proxy, LinkClosed{effect.Link, LinkFailure::TooMany});
    } else {
      Links[{proxy, effect.Link}] = {proxy, effect.Target, index};
      deliver(proxy, LinkOpened{effect.Link});
    }
  });
}

bool World::acceptsConnection(std::size_t server) {
  if (Options.MaxConnections == 0)
    return true;
  auto connections = Cluster.waitingLinks(Cluster.servers()[server].Id);
  const bool mostWait = connections.size() > Options.MaxConnections / 2;
  for (const auto &[key, link] : Links)
    if (link.Server == server)
      connections.insert(atServers(key.first, key.second));
  if (connections.size() < Options.MaxConnections)
    return true;
  ++Result.RefusedConnections;
  Result.RefusedBesideCommits += mostWait ? 1 : 0;
  return false;
}

void World::checkOrderRate(std::size_t proxy, LinkId link, std::span<const LinkCommand> commands) {
  const auto it = Links.find({proxy, link});
  const bool counts = std::any_of(commands.begin(), commands.end(), [this](const LinkCommand &command) {
    return isOrder(command) || (Options.Fencing && std::holds_alternative<ReadServerStatus>(command));
  });
  if (it == Links.end() || !counts)
    return;
  auto &recent = RecentOrders[{proxy, it->second.Server}];
  recent.push_back(Queue.now());
  while (Queue.now() - recent.front() >= 1s)
    recent.pop_front();
  if (recent.size() == MaxOrdersPerSecond)
    Result.Violations.push_back("n" + std::to_string(proxy) + " sends " + std::to_string(recent.size()) +
                                " orders a second to " + Cluster.servers()[it->second.Server].Id.str());
}

void World::send(std::size_t proxy, const SendOnLink &effect) {
  checkOrderRate(proxy, effect.Link, effect.Commands);
  Queue.after(Random.between(1ms, 4ms), [this, proxy, effect] {
    for (const auto &command : effect.Commands)
      runOne(proxy, effect.Link, command);
  });
}

void World::runOne(std::size_t proxy, LinkId link, const LinkCommand &command) {
  const auto it = Links.find({proxy, link});
  if (it == Links.end() || it->second.Silent || cutOff(proxy, it->second.Server))
    return;
  if (delayOrder(it->second, command))
    return;
  const auto server = it->second.Server;
  const auto unique = atServers(proxy, link);
  Cluster.execute(it->second.Target, unique, command,
                  [this, proxy, server, link, command](LinkReplied reply) {
                    reply.Link = link;
                    const bool success = std::holds_alternative<StatementResultRows>(reply.Outcome);
                    if (const auto *run = std::get_if<RunStatement>(&command); run && success)
                      checkRead(*run, Cluster.servers()[server]);
                    Queue.after(2ms, [this, proxy, server, reply] {
                      const auto open = Links.find({proxy, reply.Link});
                      if (open != Links.end() && !open->second.Silent && !cutOff(proxy, server))
                        deliver(proxy, reply);
                    });
                  });
}

void World::checkRead(const RunStatement &statement, const DbServer &server) {
  const auto it = Running.find(statement.StatementId);
  if (it == Running.end() || it->second.Write)
    return;
  const auto &read = it->second;
  const auto bound = read.Current ? read.SentAt : read.SentAt - MaxStaleness;
  for (const auto &[write, at] : AcknowledgedAt)
    if (at < bound && !server.holds(write)) {
      Result.Violations.push_back("read " + read.Statement + " ran at " + server.Id.str() + " without " +
                                  write);
      return;
    }
}

void World::onAnswer(std::size_t proxy, const AnswerStatement &answer) {
  if (!answerSteady(answer.Session))
    Queue.after(1ms, [this, proxy, id = answer.Session] { deliver(proxy, SessionClosed{id}); });
  const auto it = Running.find(answer.StatementId);
  if (it == Running.end())
    return;
  const auto &operation = it->second;
  const auto *why = std::get_if<StatementRejection>(&answer.Outcome);
  if (!why && operation.Write) {
    AcknowledgedAt[operation.Statement] = Queue.now();
    Cluster.onAcknowledged(operation.Statement);
    LastWriteAt = Queue.now();
    ++Result.Writes;
  } else if (!why) {
    ++Result.Reads;
  } else if (operation.Write && isPromise(why->Code)) {
    RefusedWrites.push_back(operation.Statement);
  }
  Running.erase(it);
}

void World::request() {
  Queue.after(RequestInterval, [this] { request(); });
  const auto proxy = Live[Random.below(ProxyCount)];
  const bool write = Random.chance(0.3);
  const bool current = write || Random.chance(0.5);
  const auto number = ++LastNumber;
  Operation operation{(write ? "w" : "r") + std::to_string(number), write, current, Queue.now()};
  if (Proxies[proxy]->Ended || !Proxies[proxy]->Accepting)
    return;
  Running[operation.Statement] = operation;
  const SessionId session{number};
  deliver(proxy, CallerConnected{session});
  deliver(proxy, SessionOpened{session, current ? "settle" : "look", {}});
  deliver(proxy, StatementArrived{session,
                                  {operation.Statement, operation.Statement,
                                   DataStatement{write ? AccessMode::Write : AccessMode::Read}}});
}

void World::breakLinks(std::size_t server) {
  std::vector<std::pair<std::size_t, LinkId>> broken;
  for (const auto &[key, link] : Links)
    if (link.Server == server)
      broken.push_back(key);
  for (const auto &[proxy, link] : broken) {
    Links.erase({proxy, link});
    Cluster.closeLink(atServers(proxy, link));
    if (!cutOff(proxy, server))
      deliver(proxy, LinkClosed{link, LinkFailure::Lost});
  }
}

void World::crashServer(std::size_t server, bool reborn, Duration length) {
  if (!Cluster.servers()[server].Up)
    return;
  Cluster.crash(server);
  breakLinks(server);
  trace(Cluster.servers()[server].Id.str() + " crashes; " + Cluster.describe());
  const auto id = reborn ? TargetId("t" + std::to_string(++Reborn)) : Cluster.servers()[server].Id;
  Queue.after(length, [this, server, id] { Cluster.start(server, id); });
}

void World::suspendProxy(std::size_t proxy, Duration length) {
  Proxies[proxy]->Paused = true;
  trace("n" + std::to_string(proxy) + " is suspended");
  Queue.after(length, [this, proxy] {
    auto &it = *Proxies[proxy];
    it.Paused = false;
    if (it.Ended)
      return;
    trace("n" + std::to_string(proxy) + " goes on");
    for (const auto &event : std::exchange(it.Held, {}))
      apply(proxy, event);
    apply(proxy, TimerFired{});
  });
}

void World::injectFault() {
  const auto lead = Cluster.leader();
  const auto length = Random.between(500ms, 5s);
  const auto victim = Live[Random.below(ProxyCount)];
  switch (Random.below(8)) {
  case 0:
    crashServer(lead, false, length);
    break;
  case 1:
    crashServer(lead, true, length);
    break;
  case 2:
    crashServer((lead + 1) % 3, Random.chance(0.5), length);
    break;
  case 3:
    for (std::size_t other = 0; other < 3; ++other)
      if (other != lead) {
        Cluster.cut(lead, other, true);
        Queue.after(length, [this, lead, other] { Cluster.cut(lead, other, false); });
      }
    break;
  case 4:
    for (const auto proxy : Live)
      if (Random.chance(0.6)) {
        Cuts.insert({proxy, lead});
        Queue.after(length, [this, proxy, lead] { Cuts.erase({proxy, lead}); });
      }
    break;
  case 5:
    suspendProxy(victim, length);
    break;
  case 6:
    (Random.chance(0.5) ? Store.Down : Store.LoseAnswers) = true;
    Queue.after(length, [this] { Store.Down = Store.LoseAnswers = false; });
    break;
  default:
    for (auto &it : Cluster.servers())
      it.ReplicationLag = Random.between(20ms, 800ms);
    Cluster.servers()[lead].Leaving = true;
    Cluster.OnEntryChanged();
    Queue.after(length, [this] {
      for (auto &it : Cluster.servers()) {
        it.ReplicationLag = 20ms;
        it.Leaving = false;
      }
      Cluster.OnEntryChanged();
    });
    break;
  }
}

WorldResult World::run() {
  Queue.runUntil(TimePoint{} + StartTime);
  request();
  LastPlanned = std::max({planRestarts(), planStoreRestorations(), planDrains(), planReplacements()});
  auto end = Queue.now();
  for (std::size_t n = 0; n < Options.Faults; ++n) {
    end += Random.between(200ms, FaultInterval);
    Queue.at(end, [this] { injectFault(); });
  }
  if (Options.LateOrders > 0)
    LastPlanned += MaxOrderDelay;
  end = std::max(end, LastPlanned) + QuietTime;
  Queue.runUntil(end);
  checkConfigurations();
  // Answers that were on their way when a promotion took effect have arrived by now.
  if (const auto &lead = Cluster.servers()[Cluster.leader()]; lead.Role == TargetRole::Primary)
    Cluster.checkAcknowledged(lead);
  for (const auto &write : RefusedWrites)
    if (Cluster.servers()[Cluster.leader()].holds(write))
      Result.Violations.push_back("write " + write + " was refused as not run, and ran");
  Result.Violations.insert(Result.Violations.begin(), Cluster.Violations.begin(), Cluster.Violations.end());
  Result.LostWrites = Cluster.lost().size();
  Result.LostAtServers = Cluster.lostAtServers().size();
  for (const auto &it : Cluster.servers())
    Result.Servers += it.Id.str() + (it.Up ? " up" : " down") +
                      (it.Role == TargetRole::Primary ? " primary" : " replica") + " term " +
                      std::to_string(it.CurrentTerm) + " paused " + std::to_string(it.PausedFor) + " log " +
                      std::to_string(it.Log.size()) + "; ";
  Result.RecoveredWrites = LastWriteAt && end - *LastWriteAt < 1s;
  return Result;
}

} // namespace rosemaryhinge::sessionworld

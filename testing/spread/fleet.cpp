// Drives the modules of every node in virtual time.

#include "spread/fleet.h"

#include "settings/object.h"
#include "spread/wiresize.h"

#include <algorithm>
#include <memory>

namespace rosemaryhinge::spread {

namespace {

/// Status line and headers of the object API.
constexpr std::size_t HttpOverhead = 300;
constexpr std::uint64_t FirstSeeds = 3;

bool forMembership(const PeerMessage &message) {
  return std::holds_alternative<Probe>(message) || std::holds_alternative<ProbeAck>(message) ||
         std::holds_alternative<IndirectProbe>(message) || std::holds_alternative<MembersRequest>(message) ||
         std::holds_alternative<MembersReply>(message);
}

bool forJournal(const PeerMessage &message) {
  return std::holds_alternative<JournalRecords>(message) || std::holds_alternative<JournalAck>(message) ||
         std::holds_alternative<JournalWritten>(message);
}

} // namespace

Fleet::Fleet(FleetOptions options) : Options(std::move(options)), Random(Options.Seed) {
  std::vector<SeedPeer> seeds;
  Nodes.resize(Options.Nodes);
  for (std::size_t i = 0; i < Options.Nodes; ++i) {
    const auto &zone = Options.AvailabilityZones[i % Options.AvailabilityZones.size()];
    auto &config = Nodes[i].Config;
    config.Node = NodeId("proxy-" + std::to_string(i));
    config.AvailabilityZone = AvailabilityZone(zone);
    config.Region = Region(zone);
    config.PeerAddress = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7301";
    Index[config.Node.str()] = i;
    Store.Vms.push_back({config.Node, false});
    if (i < FirstSeeds)
      seeds.push_back({config.Node, config.PeerAddress});
  }
  for (auto &it : Nodes)
    it.Config.Seeds = seeds;
  if (!Options.Tree.empty())
    Store.overwrite(std::string(SettingsKey), Options.Tree);
}

void Fleet::start(std::size_t node) {
  auto &it = Nodes[node];
  ++it.Incarnation;
  it.Random.seed(Random());
  it.Membership = MembershipModule();
  it.Settings = SettingsModule();
  it.Journal = JournalModule();
  it.Up = true;
  it.PausedUntil = Now;
  it.TimerAt.reset();
  it.Revision = 0;
  schedule(Now, node, [](Context &ctx, Node &n) {
    n.Membership.onStarted(ctx);
    n.Settings.onStarted(ctx);
    n.Journal.onStarted(ctx);
  });
}

void Fleet::startAll() {
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    start(i);
    runFor(20ms);
  }
}

std::uint64_t Fleet::admin(std::size_t node, std::string command, std::string body) {
  auto id = ++NextAdmin;
  schedule(Now, node,
           [request = AdminRequest{id, std::move(command), std::move(body)}](Context &ctx, Node &n) {
             if (request.Command == "report")
               n.Journal.onAdmin(ctx, n.Membership, request);
             else
               n.Settings.onAdmin(ctx, n.Membership, request);
           });
  return id;
}

void Fleet::runFor(Duration length) {
  auto until = Now + length;
  while (runNext(until)) {
  }
  Now = until;
}

bool Fleet::runUntil(const std::function<bool()> &condition, Duration length) {
  auto until = Now + length;
  while (!condition())
    if (!runNext(until)) {
      Now = until;
      return condition();
    }
  return true;
}

bool Fleet::allHave(std::uint64_t revision) const {
  return std::all_of(Nodes.begin(), Nodes.end(),
                     [&](const auto &it) { return !it.Up || it.Settings.revision() == revision; });
}

void Fleet::schedule(TimePoint at, std::size_t node, Step run, bool timer) {
  Queue.push({at, ++NextOrder, node, Nodes[node].Incarnation, timer, std::move(run)});
}

bool Fleet::runNext(TimePoint until) {
  if (Queue.empty() || Queue.top().At > until)
    return false;
  auto event = Queue.top();
  Queue.pop();
  Now = std::max(Now, event.At);
  auto &node = Nodes[event.Node];
  if (!node.Up || node.Incarnation != event.Incarnation)
    return true;
  if (node.PausedUntil > Now) {
    event.At = node.PausedUntil;
    Queue.push(std::move(event));
    return true;
  }
  execute(event);
  return true;
}

void Fleet::execute(const Event &event) {
  auto &node = Nodes[event.Node];
  if (event.Timer) {
    if (node.TimerAt != event.At && node.PausedUntil < event.At)
      return; // An earlier time was scheduled since.
    node.TimerAt.reset();
  }
  Effects effects;
  std::vector<JournalEntry> journal;
  // Wall time is the virtual time; it is exact to 5 ms, as with a synchronised clock.
  WallClockReading wall{Now, Now.time_since_epoch().count(), 5ms};
  Context ctx{Now,     node.Config, node.Incarnation, node.Rules, node.Random,
              effects, journal,     node.NextNumber,  wall};
  event.Run(ctx, node);
  node.Journal.append(ctx, journal);
  if (OnJournal)
    for (const auto &it : journal)
      OnJournal(event.Node, it);
  if (auto revision = node.Settings.revision(); revision != node.Revision) {
    node.Revision = revision;
    if (OnRevision)
      OnRevision(event.Node, revision);
  }
  carryOut(event.Node, std::move(effects));
  scheduleTimer(event.Node);
}

void Fleet::carryOut(std::size_t from, Effects effects) {
  for (auto &effect : effects) {
    if (const auto *it = std::get_if<SendToPeer>(&effect))
      deliver(from, *it);
    else if (const auto *it = std::get_if<PlatformCall>(&effect))
      callStore(from, *it);
    else if (const auto *it = std::get_if<AdminReply>(&effect))
      Replies[it->Id] = *it;
    else if (const auto *it = std::get_if<Count>(&effect))
      Counts[it->Name] += it->Value;
  }
}

void Fleet::deliver(std::size_t from, const SendToPeer &effect) {
  BytesSent += wireSize(effect.Message);
  auto to = Index.find(effect.To.str());
  bool lost = std::uniform_real_distribution<>(0, 1)(Random) < Loss;
  if (to == Index.end() || lost || !connected(from, to->second))
    return;
  auto at = Now + latency(from, to->second) + jitter();
  schedule(at, to->second,
           [sender = Nodes[from].Config.Node, message = effect.Message](Context &ctx, Node &n) {
             onPeer(ctx, n, sender, message);
           });
}

void Fleet::callStore(std::size_t from, const PlatformCall &call) {
  auto fail = [&](Duration after) {
    schedule(Now + after, from, [id = call.Call](Context &ctx, Node &n) {
      onPlatform(ctx, n, PlatformAnswer{id, PlatformFailure{"no answer"}});
    });
  };
  if (!StoreUp || NoStore.contains(from)) {
    fail(call.Timeout);
    return;
  }
  const auto *put = std::get_if<PutObject>(&call.Request);
  StoreBytes += HttpOverhead + (put != nullptr ? put->Value.size() : 0);
  bool lose = put != nullptr && LoseAnswers > 0;
  if (lose)
    --LoseAnswers;
  auto incarnation = Nodes[from].Incarnation;
  auto answered = std::make_shared<bool>(false);
  Store.call(call, [=, this, id = call.Call](ObjectStore::Result result) {
    if (Nodes[from].Incarnation != incarnation || *answered)
      return;
    *answered = true;
    if (!lose)
      answerStore(from, id, std::move(result));
  });
  if (lose)
    fail(call.Timeout);
  // The watch's own timeout answers with the unchanged object.
  if (auto watch = Store.LastWatch; watch != 0)
    schedule(Now + call.Timeout, from, [this, watch](Context &, Node &) { Store.endWatch(watch); });
}

void Fleet::answerStore(std::size_t to, const CallId &call, ObjectStore::Result result) {
  const auto *value = std::get_if<ObjectValue>(&result);
  StoreBytes += HttpOverhead + (value != nullptr ? value->Value.size() : 0);
  bool reachable = StoreUp && !NoStore.contains(to);
  if (!reachable)
    result = PlatformFailure{"connection lost"};
  schedule(Now + 2 * Options.ToStore + jitter(), to,
           [answer = PlatformAnswer{call, std::move(result)}](Context &ctx, Node &n) {
             onPlatform(ctx, n, answer);
           });
}

void Fleet::scheduleTimer(std::size_t node) {
  auto &it = Nodes[node];
  std::optional<TimePoint> next;
  for (auto due : {it.Membership.nextTimer(), it.Settings.nextTimer(), it.Journal.nextTimer()})
    if (due && (!next || *due < *next))
      next = due;
  if (!next)
    return;
  auto at = std::max(*next, Now + 1ms);
  if (it.TimerAt && *it.TimerAt <= at)
    return;
  it.TimerAt = at;
  schedule(
      at, node, [](Context &ctx, Node &n) { onTimer(ctx, n); }, true);
}

Duration Fleet::latency(std::size_t a, std::size_t b) {
  return Nodes[a].Config.Region == Nodes[b].Config.Region ? Options.WithinRegion : Options.BetweenRegions;
}

Duration Fleet::jitter() {
  return Duration(Random() % static_cast<std::uint64_t>(Options.Jitter.count() + 1));
}

void Fleet::onTimer(Context &ctx, Node &node) {
  auto due = [&](const auto &module) { return module.nextTimer() && *module.nextTimer() <= ctx.Now; };
  if (due(node.Membership))
    node.Membership.onTimer(ctx, node.Settings.revision());
  if (due(node.Settings))
    node.Settings.onTimer(ctx, node.Membership);
  if (due(node.Journal))
    node.Journal.onTimer(ctx, node.Membership);
}

void Fleet::onPeer(Context &ctx, Node &node, const NodeId &from, const PeerMessage &message) {
  if (forJournal(message)) {
    node.Journal.onPeer(ctx, node.Membership, from, message);
    return;
  }
  if (!forMembership(message)) {
    node.Settings.onPeer(ctx, node.Membership, from, message);
    return;
  }
  node.Membership.onPeer(ctx, from, message, node.Settings.revision());
  if (const auto *it = std::get_if<Probe>(&message))
    node.Settings.onPeerRevision(ctx, node.Membership, from, it->SettingsRevision);
  if (const auto *it = std::get_if<ProbeAck>(&message))
    node.Settings.onPeerRevision(ctx, node.Membership, from, it->SettingsRevision);
}

void Fleet::onPlatform(Context &ctx, Node &node, const PlatformAnswer &answer) {
  if (const auto *list = std::get_if<VmList>(&answer.Result))
    node.Membership.onPlatformList(ctx, *list);
  if (answer.Call.Owner == Module::Settings)
    node.Settings.onPlatformAnswer(ctx, node.Membership, answer);
  else if (answer.Call.Owner == Module::Journal)
    node.Journal.onPlatformAnswer(ctx, node.Membership, answer);
}

} // namespace rosemaryhinge::spread

// One node of a large fleet.

#include "capacity/node.h"

#include "peers/peercodec.h"
#include "request/bench/allocations.h"

#include <ctime>

namespace rosemaryhinge::capacity {

namespace {

constexpr std::size_t Zones = 10;
constexpr std::size_t Regions = 4;
constexpr std::size_t ServersPerDatabase = 3;
constexpr Duration StartTime = 40s;
constexpr Duration ProbeInterval = 1s;

std::string number(const char *prefix, std::size_t n) { return prefix + std::to_string(100000 + n); }

AvailabilityZone zoneOf(std::size_t n) { return AvailabilityZone("zone" + std::to_string(n % Zones)); }
Region regionOf(std::size_t n) { return Region("region" + std::to_string(n % Zones % Regions)); }

Duration processorTime() {
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(ts.tv_sec) +
                                              std::chrono::nanoseconds(ts.tv_nsec));
}

MemberUpdate memberUpdate(std::size_t n) {
  MemberUpdate out;
  out.Node = NodeId(number("node-", n));
  out.Incarnation = 1;
  out.Address = "10.0.0.1:7432";
  out.AvailabilityZone = zoneOf(n);
  out.Region = regionOf(n);
  out.Release = "0.1.0";
  return out;
}

} // namespace

Node::Node(Size size) : Fleet(size) {
  HeapBefore = bench::bytesHeld();
  Logic.Self.Node = NodeId(number("node-", 0));
  Logic.Self.AvailabilityZone = zoneOf(0);
  Logic.Self.Region = regionOf(0);
  Logic.Self.PeerAddress = "10.0.0.1:7432";
  Logic.Self.Seeds = {{NodeId(number("node-", 1)), "10.0.0.2:7432"}};
  Objects["settings/tree"] = {"settings/tree", 1, settingsTree()};
}

std::string Node::settingsTree() const {
  std::string out = "groups:\n  g:\n    services:\n      s:\n        databases: [";
  for (std::size_t n = 0; n < Fleet.Databases; ++n)
    out += (n == 0 ? "" : ", ") + number("db-", n);
  return out + "]\n";
}

Group Node::group(const std::string &name) const {
  Group out;
  out.Database = DatabaseId(name);
  const auto first = std::hash<std::string>{}(name);
  for (std::size_t n = 0; n < ServersPerDatabase; ++n)
    out.Servers.push_back({TargetId(name + "-" + std::to_string(n)), "10.1.0.1:5432", zoneOf(first + n * 3),
                           regionOf(first + n * 3), 3});
  out.Term = 1;
  out.Primary = out.Servers.front().Target;
  out.History = {{1, 0}};
  return out;
}

void Node::start() {
  handle(Started{1, 1});
  MembersReply members;
  for (std::size_t n = 1; n < Fleet.Members; ++n)
    members.Members.push_back(memberUpdate(n));
  handle(PeerReceived{NodeId(number("node-", 1)), members});
  run(StartTime);
}

Load Node::measure(Duration length) {
  PeerBytes = Queries = Reads = Writes = 0;
  Cpu = Duration::zero();
  run(length);
  const auto seconds = std::chrono::duration<double>(length).count();
  Load out;
  out.LookedAfter = Logic.Candidates.ownDatabases().size();
  for (const auto &[database, view] : Logic.Groups.all())
    for (const auto &server : view.Group.Servers)
      out.Slots += Logic.Slots.holds(server.Target) ? 1 : 0;
  out.CpuShare = std::chrono::duration<double>(Cpu).count() / seconds;
  std::size_t own = 0;
  for (const auto &[key, it] : Objects)
    own += key.size() + it.Value.size();
  out.HeapMb = static_cast<double>(bench::bytesHeld() - HeapBefore - own) / 1e6;
  out.PeerBytes = static_cast<double>(PeerBytes) / seconds;
  out.StatusQueries = static_cast<double>(Queries) / seconds;
  out.StoreReads = static_cast<double>(Reads) / seconds;
  out.StoreWrites = static_cast<double>(Writes) / seconds;
  return out;
}

void Node::run(Duration length) {
  const auto end = Now + length;
  auto nextProbe = Now;
  while (Now < end) {
    // On average each member is probed once in each interval.
    if (Now >= nextProbe && Fleet.Members > 1) {
      nextProbe = Now + ProbeInterval;
      const auto from = 1 + ProbeFrom++ % (Fleet.Members - 1);
      handle(PeerReceived{NodeId(number("node-", from)), Probe{ProbeFrom, Logic.Settings.revision(), {}}});
    }
    while (!Waiting.empty()) {
      auto event = std::move(Waiting.front());
      Waiting.pop_front();
      handle(event);
    }
    const auto next = nextTimer(Logic);
    Now = std::max(Now + 1ms, std::min(next.value_or(end), nextProbe));
    if (next && *next <= Now)
      handle(TimerFired{});
  }
}

void Node::handle(const Event &event) {
  const auto before = processorTime();
  const auto effects = reduce(Logic, event, Now);
  Cpu += processorTime() - before;
  carryOut(effects);
}

void Node::carryOut(const Effects &effects) {
  for (const auto &effect : effects) {
    if (const auto *call = std::get_if<PlatformCall>(&effect))
      answer(*call);
    else if (const auto *control = std::get_if<ControlCall>(&effect))
      answer(*control);
    else if (const auto *message = std::get_if<SendToPeer>(&effect))
      answer(*message);
    else if (const auto *open = std::get_if<OpenConnection>(&effect))
      Waiting.emplace_back(ConnectionOpened{open->Connection});
    else if (const auto *close = std::get_if<CloseConnection>(&effect))
      Waiting.emplace_back(ConnectionClosed{close->Connection, "closed"});
  }
}

ObjectValue Node::read(const std::string &key) const {
  if (auto it = Objects.find(key); it != Objects.end())
    return it->second;
  constexpr std::string_view Groups = "groups/";
  if (key.starts_with(Groups))
    return {key, 1, formatGroup(group(key.substr(Groups.size())))};
  return {key, 0, ""};
}

void Node::answer(const PlatformCall &call) {
  PlatformAnswer out{call.Call, PlatformFailure{"not modelled"}};
  if (const auto *put = std::get_if<PutObject>(&call.Request)) {
    ++Writes;
    Objects[put->Key] = {put->Key, put->Expected + 1, put->Value};
    out.Result = PutDone{put->Expected + 1};
  } else if (const auto *get = std::get_if<GetObject>(&call.Request)) {
    ++Reads;
    out.Result = read(get->Key);
  } else if (std::holds_alternative<WatchObject>(call.Request)) {
    ++Reads; // It stays open: nothing changes.
    return;
  } else {
    ++Reads;
    out.Result = VmList{};
  }
  Waiting.emplace_back(std::move(out));
}

void Node::answer(const ControlCall &call) {
  if (std::holds_alternative<QueryStatus>(call.Request))
    ++Queries;
  TargetStatus status;
  status.Role = call.Target.str().ends_with("-0") ? TargetRole::Primary : TargetRole::Replica;
  status.RaisedTerm = 1;
  status.Log = {1, static_cast<Lsn>(Now.time_since_epoch().count())};
  status.History = {{1, 0}};
  Waiting.emplace_back(ControlAnswer{call.Call, call.Target, status});
}

void Node::answer(const SendToPeer &message) {
  PeerBytes += encodePeer({Logic.Self.Node, message.To, message.Message, Logic.Self.PeerAddress}).size();
  if (const auto *probe = std::get_if<Probe>(&message.Message))
    Waiting.emplace_back(PeerReceived{message.To, ProbeAck{probe->Sequence, Logic.Settings.revision(), {}}});
  else if (const auto *records = std::get_if<JournalRecords>(&message.Message))
    Waiting.emplace_back(PeerReceived{message.To, JournalAck{records->Batch}});
}

} // namespace rosemaryhinge::capacity

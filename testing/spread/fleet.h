// A fleet of proxies in virtual time: membership, settings and journal of each, a network and a store.

#pragma once

#include "journal/journalmodule.h"
#include "membership/membershipmodule.h"
#include "settings/settingsmodule.h"
#include "spread/fleetoptions.h"
#include "spread/objectstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rosemaryhinge::spread {

class Fleet {
public:
  explicit Fleet(FleetOptions options);

  /// Starts a node, or restarts it with a higher incarnation. Its earlier state is lost.
  void start(std::size_t node);
  void startAll();
  void crash(std::size_t node) { Nodes[node].Up = false; }
  /// The node does nothing until then; what arrives in the meantime waits.
  void pause(std::size_t node, Duration length) { Nodes[node].PausedUntil = Now + length; }
  /// Nodes of one side do not reach those of the other. An empty set heals the network.
  void cut(std::set<std::size_t> side) { Side = std::move(side); }
  /// Cuts the nodes off from the store.
  void cutStore(std::set<std::size_t> nodes) { NoStore = std::move(nodes); }
  /// Gives an operator's command to a node.
  std::uint64_t admin(std::size_t node, std::string command, std::string body);

  void runFor(Duration length);
  /// Runs until the condition holds, checked after each event. False if it did not within the time.
  bool runUntil(const std::function<bool()> &condition, Duration length);

  [[nodiscard]] std::string name(std::size_t node) const { return Nodes[node].Config.Node.str(); }
  [[nodiscard]] const SettingsModule &settings(std::size_t node) const { return Nodes[node].Settings; }
  [[nodiscard]] const MembershipModule &membership(std::size_t node) const { return Nodes[node].Membership; }
  [[nodiscard]] std::size_t size() const { return Nodes.size(); }
  [[nodiscard]] bool up(std::size_t node) const { return Nodes[node].Up; }
  [[nodiscard]] bool allHave(std::uint64_t revision) const;

  TimePoint Now;
  ObjectStore Store;
  bool StoreUp = true;
  /// Number of conditional updates whose answer is lost after they took effect.
  int LoseAnswers = 0;
  /// Share of peer messages that are lost.
  double Loss = 0;
  std::map<std::uint64_t, AdminReply> Replies;
  std::uint64_t BytesSent = 0;  ///< Between proxies.
  std::uint64_t StoreBytes = 0; ///< Between proxies and the store.
  std::map<std::string, double> Counts;
  std::function<void(std::size_t, const JournalEntry &)> OnJournal;
  std::function<void(std::size_t, std::uint64_t)> OnRevision; ///< A node has another revision in force.

private:
  struct Node {
    NodeConfig Config;
    std::uint64_t Incarnation = 0;
    std::mt19937_64 Random;
    std::uint64_t NextNumber = 0;
    rosemaryhinge::Rules Rules;
    MembershipModule Membership;
    SettingsModule Settings;
    JournalModule Journal;
    bool Up = false;
    TimePoint PausedUntil;
    std::optional<TimePoint> TimerAt; ///< A timer event is scheduled for then.
    std::uint64_t Revision = 0;       ///< Last one that OnRevision told.
  };
  using Step = std::function<void(Context &, Node &)>;
  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    std::size_t Node = 0;
    std::uint64_t Incarnation = 0;
    bool Timer = false;
    Step Run;
  };
  struct Later {
    bool operator()(const Event &a, const Event &b) const {
      return std::pair(a.At, a.Order) > std::pair(b.At, b.Order);
    }
  };

  void schedule(TimePoint at, std::size_t node, Step run, bool timer = false);
  bool runNext(TimePoint until);
  void execute(const Event &event);
  void carryOut(std::size_t from, Effects effects);
  void deliver(std::size_t from, const SendToPeer &effect);
  void callStore(std::size_t from, const PlatformCall &call);
  void answerStore(std::size_t to, const CallId &call, ObjectStore::Result result);
  void scheduleTimer(std::size_t node);
  [[nodiscard]] Duration latency(std::size_t a, std::size_t b);
  [[nodiscard]] Duration jitter();
  [[nodiscard]] bool connected(std::size_t a, std::size_t b) const {
    return Side.contains(a) == Side.contains(b);
  }
  static void onTimer(Context &ctx, Node &node);
  static void onPeer(Context &ctx, Node &node, const NodeId &from, const PeerMessage &message);
  static void onPlatform(Context &ctx, Node &node, const PlatformAnswer &answer);

  FleetOptions Options;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  std::map<std::string, std::size_t> Index;
  std::priority_queue<Event, std::vector<Event>, Later> Queue;
  std::uint64_t NextOrder = 0;
  std::uint64_t NextAdmin = 0;
  std::set<std::size_t> Side;
  std::set<std::size_t> NoStore;
};

} // namespace rosemaryhinge::spread

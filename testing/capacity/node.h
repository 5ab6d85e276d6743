// One proxy's decision logic in a fleet of a given size: everybody else answers at once, and all that it
// sends is counted.

#pragma once

#include "reducer/reducer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rosemaryhinge::capacity {

struct Size {
  std::size_t Members = 0;
  std::size_t Databases = 0;
};

/// What one node does for control in a second without faults or requests of callers.
struct Load {
  std::size_t LookedAfter = 0; ///< Databases of which the node is a candidate.
  std::size_t Slots = 0;       ///< Servers of which it holds a slot.
  double CpuShare = 0;         ///< Of a core.
  double HeapMb = 0;
  double PeerBytes = 0;     ///< Sent to other proxies, per second.
  double StatusQueries = 0; ///< To database servers, per second.
  double StoreReads = 0;    ///< Per second; a waiting watch counts as one.
  double StoreWrites = 0;   ///< Per second.
};

class Node {
public:
  explicit Node(Size size);

  /// Joins, reads the settings and claims slots.
  void start();
  /// Measures a stretch of virtual time.
  Load measure(Duration length);

private:
  void run(Duration length);
  void handle(const Event &event);
  void carryOut(const Effects &effects);
  void answer(const PlatformCall &call);
  void answer(const ControlCall &call);
  void answer(const SendToPeer &message);
  [[nodiscard]] ObjectValue read(const std::string &key) const;
  [[nodiscard]] std::string settingsTree() const;
  [[nodiscard]] Group group(const std::string &name) const;

  Size Fleet;
  State Logic;
  TimePoint Now{1s};
  std::deque<Event> Waiting;
  std::map<std::string, ObjectValue> Objects;
  std::size_t HeapBefore = 0;
  std::uint64_t PeerBytes = 0;
  std::uint64_t Queries = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t ProbeFrom = 0;
  Duration Cpu{}; ///< Spent in reduce().
};

} // namespace rosemaryhinge::capacity

// What this proxy knows of the other members.

#pragma once

#include "base/time.h"
#include "membership/imembers.h"
#include "protocol/peer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

struct MemberEntry {
  MemberUpdate Update;
  bool Leaving = false; ///< Said so itself in this incarnation.
  /// Incarnation for which the platform's list says leaving. A list that lags behind a restart does not mark
  /// the new process.
  std::optional<std::uint64_t> ListedLeaving;
  /// Suspect: when it is declared dead. Dead: when it is forgotten.
  TimePoint Deadline;

  [[nodiscard]] bool dead() const { return Update.State == MemberUpdate::Kind::Dead; }
  [[nodiscard]] bool suspect() const { return Update.State == MemberUpdate::Kind::Suspect; }
  [[nodiscard]] bool leaving() const { return Leaving || ListedLeaving == Update.Incarnation; }
};

class MemberTable {
public:
  /// Entries kept; 3,500 members and as many dead ones fit. Further members are refused and counted.
  static constexpr std::size_t Limit = 8192;
  /// Longer than gossip of an earlier state can go on, and longer than the partitions that were seen.
  static constexpr Duration DeadRetention = 10min;

  enum class Change : std::uint8_t { None, Added, Revived, Updated, Refused };

  /// Takes an update over if it is newer than what is known: by incarnation, refutation, then state.
  Change apply(const MemberUpdate &update, TimePoint now);
  /// Removes dead members whose time is over.
  void removeExpiredDead(TimePoint now);

  [[nodiscard]] MemberEntry *find(const NodeId &node);
  [[nodiscard]] const MemberEntry *find(const NodeId &node) const;
  [[nodiscard]] std::map<NodeId, MemberEntry> &all() { return Entries; }
  [[nodiscard]] const std::map<NodeId, MemberEntry> &all() const { return Entries; }
  /// Members that are not dead, without this proxy.
  [[nodiscard]] std::size_t liveCount() const { return Live; }
  /// How long a suspicion lasts before the member is dead; grows with the time that gossip needs.
  [[nodiscard]] Duration suspicionTime() const;

private:
  bool evictOldestDead();

  std::map<NodeId, MemberEntry> Entries;
  std::size_t Live = 0;
};

/// True if a is newer than b. Both are about the same node.
[[nodiscard]] bool isNewer(const MemberUpdate &a, const MemberUpdate &b);

} // namespace rosemaryhinge::detail

// State of the membership module.

#pragma once

#include "membership/internal/gossipqueue.h"
#include "membership/internal/membertable.h"
#include "protocol/context.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

/// A probe that has not been answered yet.
struct OutstandingProbe {
  NodeId Subject;
  TimePoint IndirectAt; ///< When other members are asked to probe.
  TimePoint TimeoutAt;  ///< When the subject is suspected.
  bool IndirectRequested = false;
  /// Set if the probe is made for another member: whom to answer, and with which number.
  std::optional<std::pair<NodeId, std::uint64_t>> OnBehalfOf;
};

struct MembershipState {
  MemberUpdate Self;
  MemberTable Table;
  GossipQueue Gossip;
  std::vector<NodeId> Order; ///< Shuffled; the last one is probed next.
  std::map<std::uint64_t, OutstandingProbe> Probes;
  /// Members that a peer says are alive and this proxy holds for dead. They are probed, so that they can
  /// refute; bounded.
  std::deque<NodeId> RecheckQueue;
  std::optional<TimePoint> NextTick;
  TimePoint JoinDeadline;
  TimePoint NextSeedContact;
  TimePoint NextReconnect;
  TimePoint NextSync;
  TimePoint TimeoutsValidFrom; ///< Before this time, own timeouts prove nothing.
  bool Joined = false;
  mutable std::vector<Member> LiveCache;
  mutable bool CacheValid = false;
  mutable std::uint64_t CacheVersion = 0; ///< Grows when LiveCache changes.
};

} // namespace rosemaryhinge::detail

// Which server may be promoted, from what the servers of a service say of their logs.
//
// A commit is acknowledged once a replica has received it. A replica that is paused receives nothing more. So
// once all replicas but one are paused and that one has everything that the others had when they were paused,
// it holds every acknowledged commit, now and until it is promoted.

#pragma once

#include "protocol/target.h"

#include <map>
#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

/// What is known of one server during a change of primary.
struct ServerState {
  bool Leaving = false;
  bool FormerPrimary = false;            ///< The primary that is to be replaced.
  bool Missing = false;                  ///< Its entry has ended without notice, and it may hold commits.
  std::optional<TargetStatus> Status;    ///< Newest answer.
  std::optional<Position> FirstPosition; ///< Of the first answer.
  bool Paused = false;                   ///< Status was given by a replica that receives nothing any more.
  bool SteppedDown = false;              ///< The former primary has answered as a replica.
};
using ServerStates = std::map<TargetId, ServerState>;

/// The highest term that any server has told.
[[nodiscard]] Term highestTerm(const ServerStates &servers);
/// The server with the longest log among those that may lead. Prefers servers that stay, where their log is
/// as long.
[[nodiscard]] std::optional<TargetId> mostUpToDate(const ServerStates &servers);
/// Whether Candidate is certain to hold every acknowledged commit.
[[nodiscard]] bool holdsAllCommits(const ServerStates &servers, const TargetId &candidate);
/// A replica has received more since it was first asked: the primary serves on.
[[nodiscard]] bool anyReplicaAdvances(const ServerStates &servers);
/// A server other than the former primary that already leads the newest term.
[[nodiscard]] std::optional<TargetId> newerPrimary(const ServerStates &servers);

} // namespace rosemaryhinge::detail

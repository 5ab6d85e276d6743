// Which server may be promoted, from what the servers of a service say of their logs.
//
// A commit is acknowledged once a replica has received it. A replica that is paused receives nothing more. So
// once all replicas but one are paused and that one has everything that the others had when they were paused,
// it holds every acknowledged commit, for as long as no other server receives. The same holds for the longest
// log of all replicas once they are all paused. From the time at which the primary has stepped down, nothing
// more is acknowledged, whoever joins.

#pragma once

#include "protocol/target.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::detail {

/// What is known of one server during a change of primary.
struct ServerState {
  bool Leaving = false;
  bool FormerPrimary = false; ///< The primary that is to be replaced.
  bool Missing = false;       ///< Its entry has ended, and it may have held commits that no other log covers.
  std::optional<TargetStatus> Status;    ///< Newest answer.
  std::optional<Position> FirstPosition; ///< Of the first answer.
  bool Paused = false;                   ///< Status was given by a replica that receives nothing any more.
  bool SteppedDown = false;              ///< The former primary has answered as a replica.
  /// A replica whose Status was requested after the former primary had stepped down, or that is paused: it
  /// has received every commit that it will acknowledge.
  bool Settled = false;
};
using ServerStates = std::map<TargetId, ServerState>;

/// "TERM.LSN", as log lines have it.
[[nodiscard]] std::string toString(Position position);
/// The servers with their logs and what is known of each, for log lines.
[[nodiscard]] std::string describe(const ServerStates &servers);

/// The highest term of any server's log.
[[nodiscard]] Term highestLogTerm(const ServerStates &servers);
/// The highest term that any server has told.
[[nodiscard]] Term highestTerm(const ServerStates &servers);
/// The server with the longest log among those that may lead. Prefers a server that stays, then the given
/// one, where the log is as long.
[[nodiscard]] std::optional<TargetId> mostUpToDate(const ServerStates &servers,
                                                   const TargetId &preferred = {});
/// Whether Candidate is certain to hold every acknowledged commit.
[[nodiscard]] bool holdsAllCommits(const ServerStates &servers, const TargetId &candidate);
/// Whether every server but the former primary is a replica that is paused.
[[nodiscard]] bool allReplicasPaused(const ServerStates &servers);
/// The replica to promote after the former primary has stepped down; nullopt while no replica is certain to
/// hold every acknowledged commit. Prefers a server that stays, then the given one, where the log is as long.
/// \param othersCount Whether a server that cannot be compared may hold a commit that no other has.
[[nodiscard]] std::optional<TargetId> bestAfterStepDown(const ServerStates &servers,
                                                        const TargetId &preferred, bool othersCount = true);
/// Whether each listed server has told all that it can have received from a former primary that has stepped
/// down.
[[nodiscard]] bool listedSettled(const ServerStates &servers);
/// A replica has received more since it was first asked: the primary serves on.
[[nodiscard]] bool anyReplicaAdvances(const ServerStates &servers);
/// A server other than the former primary that leads: it reports itself as the primary, and no log has a
/// later term. A replica may be paused for a later term that nobody leads.
[[nodiscard]] std::optional<TargetId> newerPrimary(const ServerStates &servers);

} // namespace rosemaryhinge::detail

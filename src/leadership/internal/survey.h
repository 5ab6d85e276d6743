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
struct SurveyEntry {
  bool Leaving = false;
  bool Former = false;                ///< The primary that is to be replaced.
  bool Missing = false;               ///< Its entry has ended without notice, and it may hold commits.
  std::optional<TargetStatus> Status; ///< Newest answer.
  std::optional<Position> FirstLog;   ///< Of the first answer.
  bool Paused = false;                ///< Status was given by a replica that receives nothing any more.
  bool SteppedDown = false;           ///< The former primary has answered as a replica.
};
using Survey = std::map<TargetId, SurveyEntry>;

/// The highest term that any server has told.
[[nodiscard]] Term newestTerm(const Survey &survey);
/// The server with the longest log among those that may lead. Prefers servers that stay, where their log is
/// as long.
[[nodiscard]] std::optional<TargetId> furthest(const Survey &survey);
/// Whether Candidate is certain to hold every acknowledged commit.
[[nodiscard]] bool holdsAll(const Survey &survey, const TargetId &candidate);
/// A replica has received more since it was first asked: the primary serves on.
[[nodiscard]] bool receives(const Survey &survey);
/// A server other than the former primary that already leads the newest term.
[[nodiscard]] std::optional<TargetId> leads(const Survey &survey);

} // namespace rosemaryhinge::detail

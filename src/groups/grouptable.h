// Last known state of each database group and of its servers.

#pragma once

#include "groups/group.h"
#include "protocol/context.h"
#include "protocol/target.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rosemaryhinge {

/// Last known state of a server.
struct TargetView {
  TargetStatus Status;
  /// When the status was requested; the status is at least as recent as this. None before the first status.
  std::optional<TimePoint> SampledAt;
  /// When this proxy itself last heard from the server.
  std::optional<TimePoint> LastContact;
  bool ListedLeaving = false; ///< The platform's VM list marks the server as leaving.
  bool Unresponsive = false;  ///< Has not responded to this proxy for the policy's SuspectAfter.

  [[nodiscard]] bool leaving() const { return ListedLeaving || Status.Leaving; }
};

/// End of the primary's log at some time no earlier than At.
struct PrimarySample {
  TimePoint At;
  Position End;
};

struct GroupView {
  rosemaryhinge::Group Group;
  std::map<TargetId, TargetView> Targets;
  std::deque<PrimarySample> Samples; ///< Oldest first; limited in number.
  TimePoint ChangedAt;               ///< When this proxy last saw the term or phase change.
};

class GroupTable {
public:
  /// Replaces the known state of a group if the given one is newer, by term, then phase, then version.
  /// Returns true if it was replaced.
  bool update(Context &ctx, rosemaryhinge::Group group);
  /// Records a status reported by a server. Direct: this proxy received it from the server, not from a peer.
  void recordStatus(const TargetId &target, const TargetStatus &status, TimePoint sampledAt, TimePoint now,
                    bool direct);
  /// Records the role and log position returned with the result of an execution.
  void recordAnswer(const TargetId &target, Position at, TargetRole role, TimePoint sentAt, TimePoint now);
  void setListedLeaving(const TargetId &target, bool leaving);
  void setUnresponsive(const TargetId &target, bool unresponsive);

  [[nodiscard]] const GroupView *find(const DatabaseId &database) const;
  [[nodiscard]] const GroupView *findByTarget(const TargetId &target) const;
  [[nodiscard]] const TargetView *target(const TargetId &target) const;
  [[nodiscard]] const std::map<DatabaseId, GroupView> &all() const { return Groups; }

  /// Latest known time before which everything written on the primary is covered by a log that reaches
  /// Position. None if no sample proves one.
  [[nodiscard]] std::optional<TimePoint> lastProvenCurrentAt(const GroupView &view, Position position) const;

private:
  GroupView *mutableByTarget(const TargetId &target);
  static void addSample(GroupView &view, Position end, TimePoint at);

  std::map<DatabaseId, GroupView> Groups;
  std::map<TargetId, DatabaseId> DatabaseOf;
};

} // namespace rosemaryhinge

// What this proxy knows of each database group and of each of its servers.

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
  /// When the status was requested; the state is at least as recent as this. None before the first answer.
  std::optional<TimePoint> SampledAt;
  /// When this proxy itself last heard from the server.
  std::optional<TimePoint> LastContact;
  bool ListedLeaving = false; ///< By the platform's list.
  bool Unresponsive = false;  ///< It has not answered this proxy for the time of suspicion.

  [[nodiscard]] bool leaving() const { return ListedLeaving || Status.Leaving; }
};

/// A position that was the end of the primary's log at a time no earlier than At.
struct PrimarySample {
  TimePoint At;
  Position End;
};

struct GroupView {
  rosemaryhinge::Group Group;
  std::map<TargetId, TargetView> Targets;
  std::deque<PrimarySample> Samples; ///< Oldest first, bounded.
  TimePoint ChangedAt;               ///< When Term or phase last changed here.
};

class GroupTable {
public:
  /// Takes over a newer state of a group; older versions are ignored. Returns true if it was newer.
  bool update(Context &ctx, rosemaryhinge::Group group);
  /// Records a server's own report. Direct says that this proxy talked to the server itself.
  void recordStatus(const TargetId &target, const TargetStatus &status, TimePoint sampledAt, TimePoint now,
                    bool direct);
  /// Records the (role, position) that came with an answer.
  void recordAnswer(const TargetId &target, Position at, TargetRole role, TimePoint sentAt, TimePoint now);
  void setListedLeaving(const TargetId &target, bool leaving);
  void setUnresponsive(const TargetId &target, bool unresponsive);

  [[nodiscard]] const GroupView *find(const DatabaseId &database) const;
  [[nodiscard]] const GroupView *findByTarget(const TargetId &target) const;
  [[nodiscard]] const TargetView *target(const TargetId &target) const;
  [[nodiscard]] const std::map<DatabaseId, GroupView> &all() const { return Groups; }

  /// Latest time at which Position was proven to be the end of the primary's log. None if there is no proof.
  [[nodiscard]] std::optional<TimePoint> lastProvenCurrentAt(const GroupView &view, Position position) const;

private:
  GroupView *mutableByTarget(const TargetId &target);
  static void addSample(GroupView &view, Position end, TimePoint at);

  std::map<DatabaseId, GroupView> Groups;
  std::map<TargetId, DatabaseId> DatabaseOf;
};

} // namespace rosemaryhinge

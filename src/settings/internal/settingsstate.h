// State of the settings module.

#pragma once

#include "protocol/context.h"
#include "protocol/event.h"
#include "settings/edit.h"
#include "settings/internal/policytable.h"
#include "settings/object.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge::detail {

/// The revision in force, and the one before it as the base of deltas.
struct RevisionInForce {
  std::uint64_t Revision = 0;
  std::string Tree;
  ObjectVersion Version = 0; ///< Of the object, as far as it is known.
  TimePoint Since;           ///< In force without a break since then.
  PolicyTable Policies;
  std::uint64_t PreviousRevision = 0;
  std::string PreviousTree;
};

/// Part of a round that one child carries out.
struct Branch {
  NodeId Child;
  std::vector<NodeId> Descendants;
  int Tries = 0;
  TimePoint Due;      ///< When the child is tried again, or its part is handed on.
  bool Heard = false; ///< The child has answered for itself.
  bool Done = false;
  std::uint32_t InForce = 0;
};

/// A push or a query on its way down the tree of members, as one of its nodes sees it.
struct Round {
  enum class Kind : std::uint8_t { Push, Query };

  Kind What = Kind::Push;
  std::uint64_t Number = 0;
  std::optional<std::pair<NodeId, std::uint64_t>> Parent; ///< And its number there. None at the origin.
  SettingsPush Payload;                                   ///< Without descendants.
  std::vector<Branch> Branches;
  std::set<NodeId> Targets; ///< At the origin: all members that the round covers.
  std::set<NodeId> Missing;
  std::map<NodeId, SettingsInForce> Reports; ///< Of a query.
  bool OwnPending = false;                   ///< The revision is not in force here yet.
  bool OwnRefused = false;                   ///< The revision cannot be used here.
  TimePoint NextRetry;
  TimePoint GiveUpAt;
  bool Closed = false;

  [[nodiscard]] bool settled() const;
  [[nodiscard]] std::uint32_t inForce() const;
};

/// A settings.set, unset, history, diff or verify that waits for the platform or for members.
struct AdminSession {
  enum class Kind : std::uint8_t { Change, History, Diff, Verify };
  enum class Step : std::uint8_t { Reading, Writing, Spreading };

  std::uint64_t Id = 0; ///< Of the AdminRequest.
  Kind What = Kind::Change;
  Step Now = Step::Reading;
  std::optional<CallId> Call;
  std::optional<CallId> ListCall;
  TimePoint StartedAt;
  TimePoint Deadline;
  TimePoint NextTry; ///< Of a read after a failure.
  bool TryAgain = false;
  bool MaybeWritten = false; ///< An update was sent whose answer was lost.
  std::uint64_t SeenRevision = 0;
  std::string ChangeId;
  std::string Author;
  std::string Time;
  std::string Why;
  std::vector<SettingsEdit> Edits;
  std::optional<std::string> WholeTree; ///< Replaces the tree instead of edits.
  bool DryRun = false;
  bool Wait = false;
  std::string PathFilter;
  std::uint64_t FromRevision = 0;
  std::uint64_t ToRevision = 0;
  SettingsObject Next; ///< What is being written.
  std::uint64_t Revision = 0;
  bool AlreadyApplied = false;
  std::uint64_t RoundNumber = 0;
  std::optional<std::uint64_t> StoreRevision;
  std::optional<std::vector<VmEntry>> Vms;
};

struct SettingsState {
  RevisionInForce Current;
  bool Ready = false;

  // Reading at the start.
  TimePoint StartedAt;
  std::optional<CallId> StartCall;
  std::optional<TimePoint> NextStartRead;
  Duration StartBackoff{};
  bool StoreFailed = false;        ///< The store gave no usable settings.
  std::uint64_t StartRound = 0;    ///< Query to the members while the store is down.
  std::uint64_t StartRevision = 0; ///< Highest revision of a majority.

  // Watching the object.
  std::optional<CallId> WatchCall;
  std::optional<TimePoint> NextDuty;
  TimePoint NextWatch;
  Duration WatchBackoff{};
  ObjectVersion SeenVersion = 0; ///< Highest version read, valid or not.

  /// A revision learnt from a watch, to be pushed unless another proxy's push comes first.
  std::optional<TimePoint> SpreadAt;
  std::uint64_t PushSeen = 0; ///< Highest revision that a push of this or another proxy carried.

  std::map<std::uint64_t, Round> Rounds;
  /// A peer that told a higher revision; it is asked unless a push comes first.
  std::optional<std::pair<NodeId, TimePoint>> Pull;
  TimePoint PullFreeAt;
  std::map<NodeId, TimePoint> MissingSince;
  std::map<std::uint64_t, AdminSession> Sessions;
};

} // namespace rosemaryhinge::detail

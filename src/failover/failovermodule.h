// Failover of database groups: monitors servers, detects a failed primary and promotes a replica.

#pragma once

#include "groups/grouptable.h"
#include "membership/imembers.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "settings/ipolicies.h"
#include "slots/candidateindex.h"
#include "slots/islots.h"

#include <memory>
#include <optional>

namespace rosemaryhinge {

namespace detail {
struct FailoverState;
}

/// Other modules that the failover module depends on.
struct FailoverServices {
  const IPolicies &Policies;
  const IMembers &Members;
  const ISlots &Slots;
  GroupTable &Groups;
  const CandidateIndex &Candidates;
};

class FailoverModule {
public:
  FailoverModule();
  ~FailoverModule();
  FailoverModule(FailoverModule &&) noexcept;
  FailoverModule &operator=(FailoverModule &&) noexcept;

  /// Reads groups and the VM list from the platform, polls the servers of the databases for which this proxy
  /// is a candidate, and advances promotions under way.
  void onTimer(Context &ctx, FailoverServices &services);
  void onPlatformAnswer(Context &ctx, FailoverServices &services, const PlatformAnswer &event);
  void onControlAnswer(Context &ctx, FailoverServices &services, const ControlAnswer &event);
  void onPeer(Context &ctx, FailoverServices &services, const NodeId &from, const PeerMessage &message);

  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::FailoverState> State;
};

} // namespace rosemaryhinge

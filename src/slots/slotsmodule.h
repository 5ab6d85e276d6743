// Slots of database servers: who holds them, and the connections of those that this proxy holds.

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
struct SlotsState;
}

class SlotsModule : public ISlots {
public:
  SlotsModule();
  ~SlotsModule() override;
  SlotsModule(SlotsModule &&) noexcept;
  SlotsModule &operator=(SlotsModule &&) noexcept;

  void onPlatformAnswer(Context &ctx, const IPolicies &policies, const PlatformAnswer &event);
  void onObjectChanged(Context &ctx, const ObjectChanged &message);
  void onControlAnswer(Context &ctx, const IPolicies &policies, const ControlAnswer &event);
  void onConnectionOpened(Context &ctx, const ConnectionOpened &event);
  void onConnectionClosed(Context &ctx, const ConnectionClosed &event);
  void onTimer(Context &ctx, const IPolicies &policies, const GroupTable &groups, const IMembers &members,
               const CandidateIndex &candidates);
  /// Claims nothing from now on and gives up each slot once its connections are idle.
  void startLeaving(Context &ctx);
  /// True if a leaving proxy holds no slot any more, or the store keeps it from saying so.
  [[nodiscard]] bool releasedAllSlots() const;

  [[nodiscard]] bool holds(const TargetId &target) const override;
  [[nodiscard]] std::vector<NodeId> otherHolders(const DatabaseId &database,
                                                 const TargetId &target) const override;
  [[nodiscard]] std::uint32_t capacity(const TargetId &target) const override;
  [[nodiscard]] std::uint32_t busy(const TargetId &target) const override;
  std::optional<ConnectionId> acquire(Context &ctx, const TargetId &target) override;
  void release(Context &ctx, ConnectionId connection, bool stateUnknown) override;
  [[nodiscard]] std::optional<TargetId> targetOf(ConnectionId connection) const override;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::SlotsState> State;
};

} // namespace rosemaryhinge

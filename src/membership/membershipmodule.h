// Failure detection and membership between proxies.

#pragma once

#include "membership/imembers.h"
#include "protocol/context.h"
#include "protocol/event.h"

#include <memory>
#include <optional>

namespace rosemaryhinge {

namespace detail {
struct MembershipState;
}

class MembershipModule : public IMembers {
public:
  MembershipModule();
  ~MembershipModule() override;
  MembershipModule(MembershipModule &&) noexcept;
  MembershipModule &operator=(MembershipModule &&) noexcept;

  void onStarted(Context &ctx);
  void onPeer(Context &ctx, const NodeId &from, const PeerMessage &message, std::uint64_t ownRevision);
  void onPlatformList(Context &ctx, const VmList &list);
  void onTimer(Context &ctx, std::uint64_t ownRevision);
  /// Tells the fleet that this proxy is leaving.
  void announceLeaving(Context &ctx);

  [[nodiscard]] const std::vector<Member> &live() const override;
  [[nodiscard]] std::uint64_t version() const override;
  [[nodiscard]] bool isLive(const NodeId &node) const override;
  [[nodiscard]] bool isDead(const NodeId &node) const override;
  [[nodiscard]] bool isLeaving(const NodeId &node) const override;
  /// True once the member list of a peer was taken over, or no seed answered within the joining time.
  [[nodiscard]] bool joined() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::MembershipState> State;
};

} // namespace rosemaryhinge

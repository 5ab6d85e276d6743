// The settings tree: reading, checking, spreading and confirming revisions.

#pragma once

#include "membership/imembers.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "settings/ipolicies.h"

#include <memory>
#include <optional>

namespace rosemaryhinge {

namespace detail {
struct SettingsState;
}

class SettingsModule : public IPolicies {
public:
  SettingsModule();
  ~SettingsModule() override;
  SettingsModule(SettingsModule &&) noexcept;
  SettingsModule &operator=(SettingsModule &&) noexcept;

  void onStarted(Context &ctx);
  void onPlatformAnswer(Context &ctx, const IMembers &members, const PlatformAnswer &event);
  void onPeer(Context &ctx, const IMembers &members, const NodeId &from, const PeerMessage &message);
  /// A probe or its answer told the revision that a peer has in force.
  void onPeerRevision(Context &ctx, const IMembers &members, const NodeId &from, std::uint64_t revision);
  void onAdmin(Context &ctx, const IMembers &members, const AdminRequest &request);
  void onTimer(Context &ctx, const IMembers &members);

  [[nodiscard]] const ClassPolicy &classPolicy(const DatabaseId &database,
                                               const ClassName &name) const override;
  [[nodiscard]] const DatabasePolicy &databasePolicy(const DatabaseId &database) const override;
  [[nodiscard]] const std::vector<DatabaseId> &databases() const override;
  [[nodiscard]] std::uint64_t revision() const override;
  /// True once a revision is in force that is safe to use: from the store, or from a majority of known
  /// members.
  [[nodiscard]] bool ready() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::SettingsState> State;
};

} // namespace rosemaryhinge

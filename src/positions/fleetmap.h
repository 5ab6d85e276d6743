// Which proxies there are: each announces itself in the store and lists the others now and then.
//
// Entries of proxies that died stay. So the map says whom to ask, not who lives.

#pragma once

#include "protocol/context.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

class FleetMap {
public:
  void onStarted(Context &ctx);
  void onAnswer(Context &ctx, const DirectoryAnswer &event);
  void onTimer(Context &ctx);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;
  /// Takes back the announcement.
  void startLeaving(Context &ctx);

  /// The proxies of an availability zone, this one included, in the order in which they are asked about a
  /// key.
  [[nodiscard]] std::vector<NodeId> order(const AvailabilityZone &zone, std::string_view key) const;

  /// All other proxies in the order of a key, but the first ones of an availability zone in front.
  [[nodiscard]] std::vector<NodeId> others(const NodeId &self, const AvailabilityZone &zone,
                                           std::string_view key, std::size_t nearbyCount) const;

  [[nodiscard]] std::size_t size() const { return Proxies.size(); }
  /// Availability zones that have a proxy.
  [[nodiscard]] std::size_t zones() const;

private:
  void announce(Context &ctx, std::uint64_t revision);
  void list(Context &ctx);
  void addProxy(Context &ctx, const ProxyEntry &entry);

  std::map<NodeId, ProxyEntry> Proxies;
  std::vector<DirectoryObject> PartialListing; ///< Pages of a list that is not complete.
  std::optional<CallId> AnnounceCall;
  std::optional<CallId> ListCall;
  std::optional<TimePoint> AnnounceAt;
  std::optional<TimePoint> ListAt;
  bool Enabled = false; ///< This proxy listens for others.
  bool Leaving = false;
  bool HasListedOnce = false;
};

} // namespace rosemaryhinge

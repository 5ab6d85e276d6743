// Sharing of primary log positions among the proxies of an availability zone.
//
// For each service, the first proxy of the zone in rendezvous order that responds queries the primary, and
// the other proxies query that proxy. A large fleet thus needs few connections to a primary for freshness
// checks.

#pragma once

#include "freshness/primarylease.h"
#include "positions/fleetmap.h"
#include "protocol/context.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rosemaryhinge {

/// Log position of a service's primary, from a request that was sent to the primary no earlier than SentAt.
struct PositionSample {
  DatabaseId Service;
  Position At;
  TimePoint SentAt;
  TimePoint PrimaryConfirmedAt{}; ///< Newest time for which its lead was confirmed (PrimaryLease).
};

class PositionExchange {
public:
  /// Requests a position for a service from another proxy unless a request is already pending. Returns false
  /// if this proxy has to query the primary itself.
  bool request(Context &ctx, const FleetMap &fleet, const DatabaseId &service);
  /// Whether a request for the service is pending and has not timed out.
  [[nodiscard]] bool requestPending(const DatabaseId &service, TimePoint now) const;
  [[nodiscard]] std::optional<PositionSample> onReply(Context &ctx, const NodeId &from,
                                                      const PositionReply &reply);
  void onPeerLost(Context &ctx, const NodeId &node);

  /// Whether a sample is recent enough for other proxies.
  [[nodiscard]] static bool sharable(const PositionSample &sample, TimePoint now) {
    return now - sample.SentAt <= MaxSharedSampleAge && now - sample.PrimaryConfirmedAt <= MaxSharedLeaseAge;
  }

  /// Handles a request from another proxy. Replies immediately if the newest sample is recent enough,
  /// otherwise when the next sample arrives.
  void onRequest(Context &ctx, const NodeId &from, const PositionRequest &request,
                 const std::optional<PositionSample> &newest);
  /// Replies to waiting requesters with a sample that this proxy received from the primary.
  void onSample(Context &ctx, const PositionSample &sample);
  /// Services with requests from other proxies waiting for a sample. Drops requests that have timed out.
  [[nodiscard]] std::vector<DatabaseId> servicesWithRequesters(TimePoint now);

  /// After this time without a reply, this proxy queries the primary itself and does not ask the unresponsive
  /// proxy again for PeerBackoff.
  static constexpr Duration ReplyTimeout = 60ms;
  static constexpr Duration PeerBackoff = 2s;
  /// Maximum age of a sample that is sent to other proxies without querying the primary again.
  static constexpr Duration MaxSharedSampleAge = 250ms;
  /// Maximum age of a confirmation that is sent to other proxies: half of a lease is left to them.
  static constexpr Duration MaxSharedLeaseAge = PrimaryLease::Length / 2;

private:
  struct Request {
    std::uint64_t Number = 0;
    NodeId To;
    TimePoint SentAt;
  };
  struct Requester {
    NodeId Node;
    std::uint64_t Number = 0;
    TimePoint At;
  };

  std::map<DatabaseId, Request> Requests;
  std::map<NodeId, TimePoint> BackoffUntil; ///< Proxies that did not reply or were lost.
  std::map<DatabaseId, std::vector<Requester>> Requesters;
};

} // namespace rosemaryhinge

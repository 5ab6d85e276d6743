// Positions of primaries, shared among the proxies of an availability zone.
//
// For each service one proxy of the zone, the first in rendezvous order that answers, asks the primary; the
// others ask that proxy. So a large fleet needs few connections to a primary for its proofs of freshness.

#pragma once

#include "positions/fleetmap.h"
#include "protocol/context.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rosemaryhinge {

/// A position of a service's primary that was asked for no earlier than SentAt.
struct PositionSample {
  DatabaseId Service;
  Position At;
  TimePoint SentAt;
};

class PositionExchange {
public:
  /// Asks for a position of a service, unless a request is on its way. False if this proxy has to ask the
  /// primary itself.
  bool request(Context &ctx, const FleetMap &fleet, const DatabaseId &service);
  /// Whether a request for the service is on its way.
  [[nodiscard]] bool requestPending(const DatabaseId &service, TimePoint now) const;
  [[nodiscard]] std::optional<PositionSample> onReply(Context &ctx, const NodeId &from,
                                                      const PositionReply &reply);
  void onPeerLost(Context &ctx, const NodeId &node);

  /// Another proxy asks. Answered at once if a sample is young enough, else after the next one.
  void onRequest(Context &ctx, const NodeId &from, const PositionRequest &request,
                 const std::optional<PositionSample> &newest);
  /// This proxy has got a sample from the primary.
  void onSample(Context &ctx, const PositionSample &sample);
  /// Services for which other proxies wait here.
  [[nodiscard]] std::vector<DatabaseId> servicesWithRequesters(TimePoint now);

  /// A request without an answer after this time goes to the primary, and the asked proxy rests.
  static constexpr Duration ReplyTimeout = 60ms;
  static constexpr Duration PeerBackoff = 2s;
  /// A sample of this age is passed on without asking the primary again.
  static constexpr Duration MaxSharedSampleAge = 250ms;

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
  std::map<NodeId, TimePoint> BackoffUntil; ///< Proxies that did not answer.
  std::map<DatabaseId, std::vector<Requester>> Requesters;
};

} // namespace rosemaryhinge

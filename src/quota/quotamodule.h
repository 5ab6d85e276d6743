// Quotas of workspaces over all proxies.
//
// The limit of a workspace is divided among the availability zones of the settings. In each zone one proxy,
// the holder, keeps a token bucket for each workspace; a lease in the store says which. Every operation takes
// a token before it reaches a server: its proxy asks the holder of its zone, or, if that does not answer, of
// another one. Tokens are granted only to operations that wait for them, so a token is taken between the
// arrival of an operation and its arrival at a server, and nothing has to expire.

#pragma once

#include "quota/internal/quotaclient.h"
#include "quota/internal/quotaholder.h"
#include "quota/internal/quotalease.h"

#include <optional>
#include <vector>

namespace rosemaryhinge {

struct QuotaServices {
  const rosemaryhinge::Catalog &Catalog;
  const FleetMap &Fleet;
  const StoreEra &Era;
};

class QuotaModule {
public:
  /// Whether operations of workspaces need a token.
  [[nodiscard]] static bool enabled(const NodeConfig &self, const Catalog &catalog) {
    return self.Quota && catalog.configuration().Workspaces;
  }
  /// Asks for a token for an operation that waits for it. A decision follows, unless it is cancelled.
  void request(const WorkspaceId &workspace, SessionId session, TimePoint now) {
    Client.request(workspace, session, now);
  }
  void cancel(SessionId session) { Client.cancel(session); }
  /// Decisions since the last call.
  [[nodiscard]] std::vector<QuotaDecision> takeDecisions() { return Client.takeDecisions(); }

  void onTimer(Context &ctx, const QuotaServices &services);
  void onAnswer(Context &ctx, const QuotaServices &services, const DirectoryAnswer &event);
  void onRequest(Context &ctx, const QuotaServices &services, const NodeId &from,
                 const QuotaRequest &request);
  void onReply(Context &ctx, const QuotaServices &services, const NodeId &from, const QuotaReply &reply);
  void onHandover(Context &ctx, const NodeId &from, const QuotaHandover &handover);
  void onPeerLost(Context &ctx, const NodeId &node) { Client.onPeerLost(ctx, node); }
  void onStoreRestored(TimePoint now) { Lease.onStoreRestored(now); }
  /// Passes on the requests of sessions. Called after each event.
  void sendRequests(Context &ctx, const QuotaServices &services);
  /// Hands the lease over, and takes none any more.
  void startLeaving(Context &ctx, const QuotaServices &services);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  void apply(Context &ctx, const QuotaServices &services, detail::QuotaLeaseKeeper::Change change);
  void handOver(Context &ctx, const QuotaServices &services);
  /// Sends answers of the holder, those to this proxy's own sessions included.
  void deliver(Context &ctx, const FleetMap &fleet, const detail::QuotaAnswers &answers);
  [[nodiscard]] static bool comesFirst(const Context &ctx, const FleetMap &fleet);

  detail::QuotaClient Client;
  detail::QuotaHolder Holder;
  detail::QuotaLeaseKeeper Lease;
  std::vector<QuotaLevel> OfferedLevels; ///< Of the last handover to this proxy.
  TimePoint OfferedAt;
  std::optional<TimePoint> ProcessStartedAt; ///< Time of the first timer event.
  bool Enabled = false;                      ///< As of the last timer event.
  bool First = false;                        ///< This proxy comes first in the order of its zone.
  bool Leaving = false;
};

} // namespace rosemaryhinge

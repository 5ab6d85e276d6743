// Tells other proxies what this one knows of the store's objects.

#pragma once

#include "catalog/catalog.h"
#include "protocol/context.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::detail {

/// What is known of the objects of one kind.
struct SyncState {
  std::uint64_t Revision = 0; ///< Up to which all changes are known.
  TimePoint ConfirmedAt;      ///< When the store last confirmed that, here or at the proxy that told it.
  /// Deletions before this revision are not known: who asks from before it gets the whole.
  std::uint64_t CompactedBefore = 0;
  std::uint64_t LastChangeRevision = 0; ///< Revision of the last change that was applied.
  std::map<std::string, std::uint64_t>
      DeletedRevisions; ///< Names, with the revision at which the end was seen.
};

class ChangeRelay {
public:
  void onRequest(Context &ctx, const Catalog &catalog, const SyncState &known, const NodeId &from,
                 const ChangesRequest &request);
  /// Answers what waits: all if something has changed or the knowledge has become old, else what is due.
  void answerPending(Context &ctx, const Catalog &catalog, DirectoryKind kind, const SyncState &known);
  void onPeerLost(const NodeId &node);
  [[nodiscard]] std::optional<TimePoint> nextTimer(DirectoryKind kind, const SyncState &known) const;

  /// Knowledge that the store has not confirmed for this long is told at once, so that those who follow this
  /// proxy go elsewhere. Above the time of a watch at the store with its grace.
  [[nodiscard]] Duration maxConfirmationAge(DirectoryKind kind) const {
    return kind == DirectoryKind::Configuration ? MaxConfigurationAge : MaxServersAge;
  }
  void setMaxConfirmationAge(Duration configuration, Duration servers) {
    MaxConfigurationAge = configuration;
    MaxServersAge = servers;
  }
  /// Bound on requests that wait.
  static constexpr std::size_t MaxPendingRequests = 4'096;

private:
  struct PendingRequest {
    NodeId From;
    ChangesRequest Request;
    TimePoint ReceivedAt;

    [[nodiscard]] TimePoint deadline() const { return ReceivedAt + Request.Wait; }
  };
  static void answer(Context &ctx, const Catalog &catalog, const SyncState &known,
                     const PendingRequest &pending);

  /// Whether the store has not confirmed the knowledge for long. A proxy that has read nothing yet is asked
  /// to wait.
  [[nodiscard]] bool outdated(DirectoryKind kind, const SyncState &known, TimePoint now) const {
    return known.Revision > 0 && now - known.ConfirmedAt >= maxConfirmationAge(kind);
  }

  // Set at the start of the proxy.
  Duration MaxConfigurationAge{};
  Duration MaxServersAge{};
  std::vector<PendingRequest> PendingRequests;
};

} // namespace rosemaryhinge::detail

// Answers to proxies that follow this one.

#include "directory/internal/changerelay.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

const std::string ConfigurationName = "main";

} // namespace

void ChangeRelay::answer(Context &ctx, const Catalog &catalog, const SyncState &known,
                         const PendingRequest &pending) {
  const auto &request = pending.Request;
  ChangesReply out{request.Number, request.Kind, known.Revision, ctx.Now - known.ConfirmedAt, false, {}};
  if (request.Kind == DirectoryKind::Configuration) {
    if (const auto provenUntil = catalog.configurationProvenUntil())
      out.ProofOffset = *provenUntil - pending.ReceivedAt;
    if (catalog.configured() && known.LastChangeRevision > request.Revision)
      out.Objects.push_back({ConfigurationName, false, catalog.configuration()});
  } else {
    out.Complete = request.Revision < known.CompactedBefore;
    for (const auto &service : catalog.services())
      for (const auto &target : catalog.servers(service)) {
        const auto &entry = catalog.server(target)->Entry;
        const bool deleted = known.DeletedRevisions.contains(target.str());
        if (!deleted && (out.Complete || entry.Revision > request.Revision))
          out.Objects.push_back({target.str(), false, entry});
      }
    for (const auto &[name, revision] : known.DeletedRevisions)
      if (!out.Complete && revision > request.Revision)
        out.Objects.push_back({name, true, UnreadableObject{}});
  }
  ctx.emit(SendToPeer{pending.From, std::move(out)});
}

void ChangeRelay::onRequest(Context &ctx, const Catalog &catalog, const SyncState &known, const NodeId &from,
                            const ChangesRequest &request) {
  const bool changed = known.Revision > 0 && (known.LastChangeRevision > request.Revision ||
                                              request.Revision < known.CompactedBefore);
  const bool old = outdated(request.Kind, known, ctx.Now);
  if (changed || old || PendingRequests.size() >= MaxPendingRequests)
    answer(ctx, catalog, known, {from, request, ctx.Now});
  else
    PendingRequests.push_back({from, request, ctx.Now});
}

void ChangeRelay::answerPending(Context &ctx, const Catalog &catalog, DirectoryKind kind,
                                const SyncState &known) {
  const bool old = outdated(kind, known, ctx.Now);
  std::erase_if(PendingRequests, [&](const PendingRequest &it) {
    if (it.Request.Kind != kind ||
        (!old && ctx.Now < it.deadline() && known.LastChangeRevision <= it.Request.Revision))
      return false;
    answer(ctx, catalog, known, it);
    return true;
  });
}

void ChangeRelay::onPeerLost(const NodeId &node) {
  std::erase_if(PendingRequests, [&](const PendingRequest &it) { return it.From == node; });
}

std::optional<TimePoint> ChangeRelay::nextTimer(DirectoryKind kind, const SyncState &known) const {
  std::optional<TimePoint> out;
  for (const auto &it : PendingRequests)
    if (it.Request.Kind == kind)
      out = std::min(
          {out.value_or(it.deadline()), it.deadline(), known.ConfirmedAt + maxConfirmationAge(kind)});
  return out;
}

} // namespace rosemaryhinge::detail

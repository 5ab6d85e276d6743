// Answers to proxies that follow this one.

#include "directory/internal/changerelay.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

const std::string ConfigurationName = "main";

} // namespace

void ChangeRelay::answer(Context &ctx, const Catalog &catalog, const Knowledge &known, const NodeId &to,
                         const ChangesRequest &request) {
  ChangesReply out{request.Number, request.Kind, known.Revision, ctx.Now - known.ConfirmedAt, false, {}};
  if (request.Kind == DirectoryKind::Configuration) {
    if (catalog.configured() && known.ChangedAt > request.Revision)
      out.Objects.push_back({ConfigurationName, false, catalog.configuration()});
  } else {
    out.Complete = request.Revision < known.WholeBefore;
    for (const auto &service : catalog.services())
      for (const auto &target : catalog.servers(service)) {
        const auto &entry = catalog.server(target)->Entry;
        const bool ended = known.Deleted.contains(target.str());
        if (!ended && (out.Complete || entry.Revision > request.Revision))
          out.Objects.push_back({target.str(), false, entry});
      }
    for (const auto &[name, revision] : known.Deleted)
      if (!out.Complete && revision > request.Revision)
        out.Objects.push_back({name, true, UnreadableObject{}});
  }
  ctx.emit(SendToPeer{to, std::move(out)});
}

void ChangeRelay::onRequest(Context &ctx, const Catalog &catalog, const Knowledge &known, const NodeId &from,
                            const ChangesRequest &request) {
  const bool news = known.ChangedAt > request.Revision || request.Revision < known.WholeBefore;
  const bool old = ctx.Now - known.ConfirmedAt >= FollowAge;
  if (news || old || Waiting.size() >= MaxWaiting)
    answer(ctx, catalog, known, from, request);
  else
    Waiting.push_back({from, request, ctx.Now + request.Wait});
}

void ChangeRelay::answerDue(Context &ctx, const Catalog &catalog, DirectoryKind kind,
                            const Knowledge &known) {
  const bool old = ctx.Now - known.ConfirmedAt >= FollowAge;
  std::erase_if(Waiting, [&](const Request &it) {
    if (it.What.Kind != kind || (!old && ctx.Now < it.Until && known.ChangedAt <= it.What.Revision))
      return false;
    answer(ctx, catalog, known, it.From, it.What);
    return true;
  });
}

void ChangeRelay::onPeerLost(const NodeId &node) {
  std::erase_if(Waiting, [&](const Request &it) { return it.From == node; });
}

std::optional<TimePoint> ChangeRelay::nextTimer(DirectoryKind kind, const Knowledge &known) const {
  std::optional<TimePoint> out;
  for (const auto &it : Waiting)
    if (it.What.Kind == kind)
      out = std::min({out.value_or(it.Until), it.Until, known.ConfirmedAt + FollowAge});
  return out;
}

} // namespace rosemaryhinge::detail

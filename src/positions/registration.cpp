// Registration of this proxy in the store: its entry while it runs, the one that it leaves behind, and what
// happens if the entry is lost.

#include "positions/fleetmap.h"

#include <utility>

namespace rosemaryhinge {

namespace {

constexpr Duration CallTimeout = 1500ms;
constexpr Duration LeaveTimeout = 250ms;
constexpr Duration RetryPause = 1s;
/// An entry that was there this recently is not read again.
constexpr Duration VerifyInterval = 5s;
/// After a restoration of the store, the proxies announce themselves again within this time. They list each
/// other some time after it, when all have done so.
constexpr Duration MaxAnnounceDelay = 500ms;
constexpr Duration ListDelay = 1500ms;

} // namespace

void FleetMap::announce(Context &ctx, std::uint64_t revision) {
  AnnounceAt.reset();
  AnnounceCall = ctx.call(Module::Positions);
  AnswersUnwritten = false;
  ProxyEntry entry{ctx.Self.Node, ctx.Self.AvailabilityZone, ctx.Self.PeerAddress, ctx.Incarnation};
  entry.KnownSince = KnownSince.value_or(0);
  entry.FenceAnswers = FenceAnswers;
  ctx.emit(DirectoryCall{*AnnounceCall, CallTimeout, PutProxy{entry, revision}});
}

void FleetMap::verifyEntry(Context &ctx) {
  const bool confirmed = ctx.Now - ConfirmedAt < VerifyInterval;
  if (!Enabled || Leaving || VerifyCall || AnnounceCall || OwnRevision == 0 || confirmed)
    return;
  VerifyCall = ctx.call(Module::Positions);
  ctx.emit(DirectoryCall{*VerifyCall, CallTimeout, ReadProxy{ctx.Self.Node}});
}

void FleetMap::onVerified(Context &ctx, const DirectoryAnswer &event) {
  if (std::holds_alternative<ProxyMissing>(event.Result))
    onEntryLost(ctx);
  else if (std::holds_alternative<ProxyStored>(event.Result))
    ConfirmedAt = ctx.Now;
}

void FleetMap::onEntryLost(Context &ctx) {
  if (Leaving || AnnounceCall)
    return;
  ctx.emit(Count{"proxy_entries_removed_total"});
  ctx.emit(Log{LogLevel::Warn, "the entry of this proxy is gone; registering again", {}});
  OwnRevision = 0;
  announce(ctx, 0);
}

void FleetMap::onAnnounceAnswer(Context &ctx, const DirectoryAnswer &event) {
  if (const auto *stored = std::get_if<ProxyStored>(&event.Result)) {
    onAnnounced(ctx, stored->Revision);
    return;
  }
  if (std::holds_alternative<ProxyMissing>(event.Result)) {
    onEntryLost(ctx);
    return;
  }
  const auto *conflict = std::get_if<ProxyConflict>(&event.Result);
  if (!conflict) {
    if (!Leaving)
      AnnounceAt = ctx.Now + RetryPause;
    return;
  }
  const auto &current = conflict->Current;
  if (current && current->Incarnation == ctx.Incarnation && !current->Final) {
    // An earlier call without an answer was carried out, with the answers to fences of then.
    AnswersUnwritten = !FenceAnswers.empty();
    onAnnounced(ctx, conflict->Revision);
    return;
  }
  adoptRecord(current);
  announce(ctx, conflict->Revision);
}

void FleetMap::onAnnounced(Context &ctx, std::uint64_t revision) {
  if (std::exchange(OwnRevision, revision) == 0)
    ++Registrations;
  ConfirmedAt = ctx.Now;
  if (!KnownSince)
    KnownSince =
        EarlierKnownSince ? EarlierKnownSince->value_or(revision) : recordWithoutEntry(ctx, revision);
  if (AnswersUnwritten && !Leaving)
    announce(ctx, revision);
}

std::uint64_t FleetMap::recordWithoutEntry(const Context &ctx, std::uint64_t revision) {
  return ctx.Self.FirstStart ? 0 : revision;
}

void FleetMap::answerFence(Context &ctx, const DatabaseId &service, const StoredFenceAnswer &answer) {
  FenceAnswers[service] = answer;
  AnswersUnwritten = true;
  if (OwnRevision > 0 && !AnnounceCall && !Leaving)
    announce(ctx, OwnRevision);
}

void FleetMap::adoptRecord(const std::optional<ProxyEntry> &entry) {
  EarlierKnownSince.emplace();
  if (!entry || !entry->Final)
    return;
  *EarlierKnownSince = entry->Final->KnownSince;
  addReported(*entry->Final);
}

void FleetMap::addReported(const ReportedCommits &reported) {
  for (const auto &[service, position] : reported.UpTo) {
    auto &known = ReportedByEnded[service];
    known = std::max(known, position);
  }
}

void FleetMap::onStoreRestored(Context &ctx) {
  if (!Enabled || Leaving)
    return;
  const auto announced = forFleet(MaxAnnounceDelay);
  AnnounceAt = ctx.Now + ctx.jitter(announced);
  ListAt = ctx.Now + announced + ListDelay;
  PartialListing.clear();
  ListCall.reset();
}

void FleetMap::startLeaving(Context &ctx, std::map<DatabaseId, Position> reported) {
  if (std::exchange(Leaving, true) || !Enabled)
    return;
  AnnounceAt.reset();
  ListAt.reset();
  LeftBy = ctx.Now + LeaveTimeout;
  if (!KnownSince) {
    // There is no entry of this process, or it cannot be told from that of another one.
    LeftBy = ctx.Now;
    return;
  }
  Final = {*KnownSince, std::move(reported)};
  writeFinal(ctx, OwnRevision);
}

void FleetMap::writeFinal(Context &ctx, std::uint64_t revision) {
  ProxyEntry entry{ctx.Self.Node, ctx.Self.AvailabilityZone, ctx.Self.PeerAddress, ctx.Incarnation};
  entry.Final = Final;
  LeaveCall = ctx.call(Module::Positions);
  ctx.emit(DirectoryCall{*LeaveCall, LeaveTimeout, PutProxy{std::move(entry), revision}});
}

void FleetMap::onFinalAnswer(Context &ctx, const DirectoryAnswer &event) {
  const auto *conflict = std::get_if<ProxyConflict>(&event.Result);
  // An earlier call without an answer was carried out.
  const bool own = conflict && conflict->Current && conflict->Current->Incarnation == ctx.Incarnation &&
                   !conflict->Current->Final;
  if (own)
    writeFinal(ctx, conflict->Revision);
  else if (std::holds_alternative<ProxyMissing>(event.Result))
    writeFinal(ctx, 0);
  else
    LeftBy = ctx.Now;
}

} // namespace rosemaryhinge

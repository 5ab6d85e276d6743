#include "quota/internal/quotalease.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Below the interval of renewals, so that a call without an answer is repeated before the next one is due.
constexpr Duration CallTimeout = 1500ms;
constexpr Duration RetryDelay = 300ms;
/// Time for which what was read of the lease tells who holds it.
constexpr Duration HolderValidity = 10s;

} // namespace

NodeId QuotaLeaseKeeper::holder(TimePoint now) const {
  return Known && now - SeenAt < HolderValidity ? Known->Holder : NodeId();
}

void QuotaLeaseKeeper::onAsked(TimePoint now) {
  AskedAt = now;
  NextCallAt = std::min(NextCallAt, std::max(SeenAt, CallSentAt) + ReadInterval);
}

void QuotaLeaseKeeper::onHandover(std::uint64_t revision, TimePoint now) {
  OfferedRevision = std::max(OfferedRevision, revision);
  AskedAt = now;
  NextCallAt = now;
}

std::optional<std::uint64_t> QuotaLeaseKeeper::handOver(TimePoint now) {
  // The answer to a write that is in progress must not make this proxy the holder.
  Call.reset();
  if (!HeldFrom)
    return std::nullopt;
  HeldFrom.reset();
  HandedOverAt = now;
  NextCallAt = now + HandoverTime;
  return Known ? Known->Revision : 0;
}

std::optional<TimePoint> QuotaLeaseKeeper::nextTimer(bool first) const {
  if (Call)
    return std::nullopt;
  if (HeldFrom || first || AskedAt)
    return NextCallAt;
  return std::nullopt;
}

QuotaLeaseKeeper::Change QuotaLeaseKeeper::onTimer(Context &ctx, bool first) {
  const bool lapsed = HeldFrom && !held(ctx.Now);
  const auto out = lapsed ? lose() : Change::None;
  if (AskedAt && ctx.Now - *AskedAt >= AskedTime)
    AskedAt.reset();
  if (Call || ctx.Now < NextCallAt || (!HeldFrom && !first && !AskedAt))
    return out;
  if (HeldFrom)
    write(ctx, *Known);
  else
    read(ctx);
  return out;
}

void QuotaLeaseKeeper::read(Context &ctx) {
  Call = ctx.call(Module::Quota);
  CallSentAt = ctx.Now;
  ctx.emit(DirectoryCall{*Call, CallTimeout, ListDirectory{DirectoryKind::QuotaLeases, {}}});
}

void QuotaLeaseKeeper::write(Context &ctx, const QuotaLease &base) {
  Call = ctx.call(Module::Quota);
  CallSentAt = ctx.Now;
  Base = base.Revision > 0 ? std::optional(base) : std::nullopt;
  const QuotaLease next{ctx.Self.AvailabilityZone, ctx.Self.Node, ctx.Incarnation, base.Renewals + 1,
                        base.Revision};
  ctx.emit(DirectoryCall{*Call, CallTimeout, PutQuotaLease{next}});
}

void QuotaLeaseKeeper::observe(const std::optional<QuotaLease> &lease, TimePoint now) {
  const bool same = Read && Known.has_value() == lease.has_value() &&
                    (!lease || (Known->Revision == lease->Revision && Known->Holder == lease->Holder));
  if (!same)
    SeenSince = now;
  Known = lease;
  Read = true;
  SeenAt = now;
}

bool QuotaLeaseKeeper::mayTake(const Context &ctx, const StoreEra &era) const {
  if (RestoredAt && ctx.Now - *RestoredAt < TakeoverTime)
    return false;
  // The store may have been restored before this process has started. A proxy that acts on a lease which it
  // has forgotten stops within this time.
  if ((!Known || Known->Holder != ctx.Self.Node) && !era.knownFor(TakeoverTime, ctx.Now))
    return false;
  if (HandedOverAt && ctx.Now - *HandedOverAt < HandoverTime)
    return false;
  if (!Known || Known->Holder == ctx.Self.Node)
    return true;
  return Known->Revision == OfferedRevision || ctx.Now - SeenSince >= TakeoverTime;
}

QuotaLeaseKeeper::Change QuotaLeaseKeeper::onAnswer(Context &ctx, const StoreEra &era,
                                                    const DirectoryAnswer &event) {
  if (Call != event.Call)
    return Change::None;
  Call.reset();
  if (const auto *stored = std::get_if<QuotaLeaseStored>(&event.Result))
    return onStored(ctx, stored->Stored);
  if (const auto *conflict = std::get_if<QuotaLeaseConflict>(&event.Result))
    return onConflict(ctx, conflict->Current);
  const auto *list = std::get_if<DirectoryListing>(&event.Result);
  if (!list) {
    NextCallAt = ctx.Now + RetryDelay;
    return Change::None;
  }
  std::optional<QuotaLease> lease;
  for (const auto &it : list->Objects)
    if (const auto *one = std::get_if<QuotaLease>(&it.Value);
        one && one->AvailabilityZone == ctx.Self.AvailabilityZone)
      lease = *one;
  observe(lease, ctx.Now);
  if (mayTake(ctx, era))
    write(ctx, lease.value_or(QuotaLease{}));
  else
    NextCallAt = ctx.Now + (AskedAt ? ReadInterval : IdleReadInterval);
  return Change::None;
}

QuotaLeaseKeeper::Change QuotaLeaseKeeper::onStored(Context &ctx, const QuotaLease &stored) {
  const auto out = HeldFrom ? Change::None : changeFrom(ctx, Base);
  observe(stored, ctx.Now);
  HeldFrom = CallSentAt;
  NextCallAt = CallSentAt + RenewInterval;
  return out;
}

QuotaLeaseKeeper::Change QuotaLeaseKeeper::changeFrom(const Context &ctx,
                                                      const std::optional<QuotaLease> &former) const {
  if (!former)
    return Change::Taken;
  if (former->Holder == ctx.Self.Node)
    return former->Incarnation == ctx.Incarnation ? Change::Resumed : Change::TakenAtStart;
  return former->Revision == OfferedRevision ? Change::TakenOver : Change::Taken;
}

QuotaLeaseKeeper::Change QuotaLeaseKeeper::onConflict(Context &ctx, const QuotaLease &current) {
  observe(current, ctx.Now);
  const bool own = current.Holder == ctx.Self.Node && current.Incarnation == ctx.Incarnation;
  NextCallAt = ctx.Now;
  if (own) {
    // An earlier write without an answer was accepted; the next one builds on it.
    if (HeldFrom)
      return Change::None;
    write(ctx, current);
    return Change::None;
  }
  NextCallAt += ReadInterval;
  return HeldFrom ? lose() : Change::None;
}

QuotaLeaseKeeper::Change QuotaLeaseKeeper::lose() {
  HeldFrom.reset();
  return Change::Lost;
}

} // namespace rosemaryhinge::detail

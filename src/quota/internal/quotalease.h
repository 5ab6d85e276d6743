// The lease that gives one proxy of an availability zone the right to keep the zone's quotas.
//
// It is an object in the store, written conditionally and renewed. The holder acts on it for a time after the
// sending of the last confirmed write. Others take it over only after they have seen it unchanged for longer
// than that, if the holder has handed it over, or if it belongs to an earlier process of their own node.

#pragma once

#include "catalog/storeera.h"
#include "protocol/context.h"

#include <optional>

namespace rosemaryhinge::detail {

class QuotaLeaseKeeper {
public:
  /// What an event has changed for this proxy.
  enum class Change : std::uint8_t {
    None,
    Taken,        ///< From a holder of which nothing is known.
    TakenAtStart, ///< From an earlier process of this node, which ended before this one started.
    TakenOver,    ///< From a holder that has handed it over.
    Resumed,      ///< This process held it before, and no other one since.
    Lost,
  };

  /// \param first Whether this proxy comes first in the order of its zone, and takes the lease unasked.
  Change onTimer(Context &ctx, bool first);
  Change onAnswer(Context &ctx, const StoreEra &era, const DirectoryAnswer &event);
  /// Another proxy asked this one for tokens: the holder may be gone.
  void onAsked(TimePoint now);
  /// The holder has stopped to act on the lease of this revision.
  void onHandover(std::uint64_t revision, TimePoint now);
  /// The store has come back from an older copy, which may lack the lease of a proxy that acts on it.
  void onStoreRestored(TimePoint now) { RestoredAt = now; }
  /// Stops to act on the lease. Returns the revision that another proxy may take; nullopt if this proxy does
  /// not hold the lease.
  std::optional<std::uint64_t> handOver(TimePoint now);

  [[nodiscard]] bool held(TimePoint now) const { return HeldFrom && now < *HeldFrom + HoldTime; }
  /// Whether renewals have failed for so long that another proxy should take over.
  [[nodiscard]] bool failing(TimePoint now) const {
    return HeldFrom && now - *HeldFrom >= RenewInterval + FailingTime;
  }
  /// Who holds the lease as far as this proxy knows; empty if that is not known.
  [[nodiscard]] NodeId holder(TimePoint now) const;
  [[nodiscard]] std::optional<TimePoint> nextTimer(bool first) const;

  /// From the sending of the last confirmed write.
  static constexpr Duration HoldTime = 9s;
  static constexpr Duration RenewInterval = 3s;
  /// Time without a confirmed renewal, after it was due, until the lease is handed over.
  static constexpr Duration FailingTime = 5s;
  /// Time for which a proxy that has handed the lease over leaves it to others.
  static constexpr Duration HandoverTime = 2s;
  /// Longer than HoldTime, since clocks of VMs run at slightly different rates.
  static constexpr Duration TakeoverTime = 10s;
  /// Time for which the lease is read after this proxy was asked for tokens.
  static constexpr Duration AskedTime = 3s;
  static constexpr Duration ReadInterval = 1s;
  /// Interval at which the first proxy of a zone reads the lease of another holder unasked.
  static constexpr Duration IdleReadInterval = 5s;

private:
  void read(Context &ctx);
  void write(Context &ctx, const QuotaLease &base);
  void observe(const std::optional<QuotaLease> &lease, TimePoint now);
  [[nodiscard]] bool mayTake(const Context &ctx, const StoreEra &era) const;
  Change onStored(Context &ctx, const QuotaLease &stored);
  Change onConflict(Context &ctx, const QuotaLease &current);
  /// What taking the lease in the place of another one means.
  [[nodiscard]] Change changeFrom(const Context &ctx, const std::optional<QuotaLease> &former) const;
  Change lose();

  std::optional<QuotaLease> Known; ///< As last read or written; empty if there was none.
  bool Read = false;               ///< The store has told of the lease, or that there is none.
  TimePoint SeenSince;             ///< When Known was first seen with its revision.
  TimePoint SeenAt;                ///< When Known was last confirmed.
  std::optional<TimePoint>
      HeldFrom;               ///< Sending of the last confirmed write; set while this proxy is the holder.
  std::optional<CallId> Call; ///< Pending; at most one at a time.
  TimePoint CallSentAt;
  std::optional<QuotaLease> Base; ///< What the pending write replaces.
  TimePoint NextCallAt;
  std::optional<TimePoint> AskedAt;
  std::optional<TimePoint> RestoredAt;
  std::optional<TimePoint> HandedOverAt;
  std::uint64_t OfferedRevision = 0; ///< The holder of this revision has stopped.
};

} // namespace rosemaryhinge::detail

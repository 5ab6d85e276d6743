// What a proxy knows of the claim object of one service: who may change the primary, and whether this proxy
// may act on its own claim.
//
// The claim is written conditionally on its revision. Its holder acts only while its last confirmed write is
// younger than ActPeriod, and another proxy takes the claim over only once it has seen the same revision for
// TakeoverDelay. So two proxies never act on one service at the same time, as long as an order arrives within
// the difference of the two.

#pragma once

#include "base/time.h"
#include "protocol/directory.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rosemaryhinge::detail {

class ClaimState {
public:
  /// Records the claim as another proxy or this one wrote it.
  void observe(const Claim &claim, TimePoint now);
  [[nodiscard]] const Claim &known() const { return Known; }

  /// Whether a proxy may write a claim of its own over the known one.
  [[nodiscard]] bool claimable(const NodeId &self, TimePoint now) const;
  /// When the known claim of another proxy may be taken over if it does not change.
  [[nodiscard]] TimePoint takeoverAt() const { return KnownSince + TakeoverDelay; }

  /// Starts a claim of this proxy, to be written with next().
  void start(std::string nonce) { Nonce = std::move(nonce); }
  /// The claim to write now. Each write differs from the one before, so that it gets a new revision.
  /// \param required Position that a server must hold to be promoted, as far as this proxy knows.
  [[nodiscard]] Claim next(const DatabaseId &service, const NodeId &self, const TargetId &from, TimePoint now,
                           Position required = {});
  /// Records that the store has accepted the last write.
  void onStored(const Claim &stored, TimePoint now);
  /// Whether the claim was written by this proxy for its present change.
  [[nodiscard]] bool isOwn(const Claim &claim, const NodeId &self) const;
  /// Ends this proxy's claim; it acts on it no more.
  void reset();
  /// Also forgets what the store has held: it has come back from an older copy.
  void forget(TimePoint now);

  /// Whether this proxy may act on its claim.
  [[nodiscard]] bool held(TimePoint now) const { return ConfirmedAt && now - *ConfirmedAt < ActPeriod; }
  /// Whether other proxies may have taken over this proxy's claim.
  [[nodiscard]] bool lapsed(TimePoint now) const {
    return !ConfirmedAt || now - *ConfirmedAt >= TakeoverDelay;
  }
  [[nodiscard]] bool renewalDue(TimePoint now) const {
    return ConfirmedAt && now - *ConfirmedAt >= RenewalInterval;
  }
  /// Time since the store got the write that this proxy's claim rests on, at most.
  [[nodiscard]] Duration age(TimePoint now) const {
    return ConfirmedAt ? now - *ConfirmedAt : Duration::max();
  }
  /// Fencing token of the orders on this claim.
  [[nodiscard]] std::uint64_t token() const { return Known.Revision; }

  static constexpr Duration TakeoverDelay = 3s;
  /// The rest of TakeoverDelay is left for orders on their way.
  static constexpr Duration ActPeriod = 1800ms;
  static constexpr Duration RenewalInterval = 1s;

private:
  Claim Known;
  TimePoint KnownSince; ///< When Known.Revision was first seen.
  std::string Nonce;    ///< Empty if this proxy has no claim.
  std::uint64_t Renewals = 0;
  TimePoint WrittenAt;                  ///< When the last write was sent.
  std::optional<TimePoint> ConfirmedAt; ///< When the last write that the store accepted was sent.
};

} // namespace rosemaryhinge::detail

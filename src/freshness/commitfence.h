// Which commits of a service a proxy must not report to callers, because another server is being promoted.
//
// A promoted server must hold every commit that any proxy has reported. A proxy that changes the primary
// therefore raises a fence at every proxy before the order. From then on no commit is reported but those of
// the server that is promoted, in its new term, so that the highest position reported until then is final.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace rosemaryhinge {

class CommitFence {
public:
  struct Bounds {
    std::uint64_t Token = 0; ///< Revision of the claim under which a server is promoted.
    TargetId Successor;      ///< The server that is promoted; empty before it is chosen.
    Term UpTo = 0;           ///< Known terms of before the promotion.
  };

  /// Raises the fence, or renews it. Returns false, without effect, if a later claim is known or this one has
  /// ended.
  bool raise(const Bounds &bounds, TimePoint now);
  /// Ends the fence of this claim and of earlier ones.
  /// \param promoted The server that leads now; empty if the former primary may go on.
  void end(std::uint64_t token, const TargetId &promoted);

  [[nodiscard]] bool raised(TimePoint now) const { return Raised && now - RenewedAt < Lifetime; }
  /// Whether the holder of the claim has not renewed the fence in time.
  [[nodiscard]] bool overdue(TimePoint now) const { return raised(now) && now - RenewedAt >= MaxSilence; }
  /// Whether a commit that a server has acknowledged must not be reported.
  /// \param at Its position; empty if the server has not told it.
  [[nodiscard]] bool withholds(const TargetId &server, std::optional<Position> at, TimePoint now) const;
  /// Whether commits must not be sent to a server, since their answers would be withheld.
  [[nodiscard]] bool bars(const TargetId &server, TimePoint now) const {
    return raised(now) && server != Known.Successor;
  }

  static constexpr Duration RenewalInterval = 1s;
  /// Without a renewal for this long, the proxies look whether the claim has another holder.
  static constexpr Duration MaxSilence = 2500ms;
  /// A fence that is not renewed ends after this time. Another proxy has taken the claim over well before.
  static constexpr Duration Lifetime = 10s;

private:
  Bounds Known; ///< UpTo never falls.
  bool Raised = false;
  TimePoint RenewedAt;
  std::uint64_t EndedToken = 0;
  // The last change that is known to have promoted a server.
  TargetId Promoted;
  Term PromotedUpTo = 0; ///< Bounds::UpTo of its fence.
};

} // namespace rosemaryhinge

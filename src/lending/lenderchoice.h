// Selection of the proxy from which to borrow connections to a server.

#pragma once

#include "catalog/catalog.h"
#include "links/linkpool.h"
#include "positions/fleetmap.h"
#include "protocol/context.h"

#include <map>
#include <optional>

namespace rosemaryhinge {

class LenderChoice {
public:
  /// Returns the proxy of this availability zone to borrow from: the first in rendezvous order for the
  /// service that is not in back-off. Returns nullopt if this proxy opens connections itself, because it
  /// comes first in that order or the server allows enough connections for each proxy to hold its own. Also
  /// returns nullopt for an unknown target.
  [[nodiscard]] std::optional<NodeId> lenderOf(const Context &ctx, const Catalog &catalog,
                                               const LinkPool &links, const FleetMap &fleet,
                                               const TargetId &target) const;
  /// Excludes a lender for BackoffTime after it has not replied, has refused a loan or was lost.
  void backOff(const NodeId &lender, TimePoint now) { BackoffUntil[lender] = now + BackoffTime; }

  static constexpr Duration BackoffTime = 2s;

private:
  std::map<NodeId, TimePoint> BackoffUntil;
};

} // namespace rosemaryhinge

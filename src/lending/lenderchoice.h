// Which proxy lends this one a connection to a server.

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
  /// The proxy of this availability zone to borrow from: the first in the rendezvous order of the service
  /// that answers. None if this proxy is to open connections itself: it is the first, or there are
  /// connections enough for each proxy to have its own.
  [[nodiscard]] std::optional<NodeId> lenderOf(const Context &ctx, const Catalog &catalog,
                                               const LinkPool &links, const FleetMap &fleet,
                                               const TargetId &target) const;
  /// The proxy gave no answer, or lends nothing.
  void backOff(const NodeId &lender, TimePoint now) { BackoffUntil[lender] = now + BackoffTime; }

  static constexpr Duration BackoffTime = 2s;

private:
  std::map<NodeId, TimePoint> BackoffUntil;
};

} // namespace rosemaryhinge

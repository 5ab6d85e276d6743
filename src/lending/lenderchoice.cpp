// Selection of the lender for a target.

#include "lending/lenderchoice.h"

namespace rosemaryhinge {

std::optional<NodeId> LenderChoice::lenderOf(const Context &ctx, const Catalog &catalog,
                                             const LinkPool &links, const FleetMap &fleet,
                                             const TargetId &target) const {
  const auto *view = catalog.server(target);
  if (!view || !links.needsLending(catalog, view->Entry.Service))
    return std::nullopt;
  for (const auto &node : fleet.order(ctx.Self.AvailabilityZone, view->Entry.Service.str())) {
    if (node == ctx.Self.Node)
      return std::nullopt;
    if (const auto it = BackoffUntil.find(node); it == BackoffUntil.end() || ctx.Now >= it->second)
      return node;
  }
  return std::nullopt;
}

} // namespace rosemaryhinge

// Links borrowed from other proxies.

#include "links/linkpool.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Maximum number of pending loan requests for one server.
constexpr std::size_t MaxPendingLoanRequests = 32;
/// A lender replies to a request immediately, even if only to confirm that it is queued. Without any reply
/// within this time the lender counts as unreachable.
constexpr Duration LenderTimeout = 200ms;

} // namespace

void LinkPool::borrowLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting,
                           const LoanParameters &wish) {
  const auto *view = catalog.server(target);
  if (!view)
    return;
  auto &server = Servers[target];
  const auto wanted = std::min(waiting, MaxPendingLoanRequests);
  auto asked =
      catalog.configuration().Workspaces ? pending(server, wish.Workspace, true) : server.PendingLoanRequests;
  for (; asked < wanted && server.PendingLoanRequests < MaxPendingLoanRequests && ctx.Now >= server.RetryAt;
       ++asked) {
    const auto id = addLink(ctx, server, target, view->Entry.Service, wish.Lender, wish.Workspace);
    ++server.PendingLoanRequests;
    ctx.emit(Count{"loans_requested_total"});
    ctx.emit(SendToPeer{wish.Lender,
                        LoanRequest{{ctx.Incarnation, id.Value}, target, wish.Priority, wish.Workspace}});
  }
  scheduleSweep(ctx.Now);
}

void LinkPool::endLoan(Context &ctx, LinkId id, const Link &link, LoanEndReason why) {
  ctx.emit(SendToPeer{link.Lender, LoanEnd{{ctx.Incarnation, id.Value}, why}});
}

void LinkPool::onQueued(Context &ctx, LinkId id) {
  if (const auto it = Links.find(id); it != Links.end() && it->second.State == Phase::Opening) {
    it->second.Queued = true;
    it->second.Since = ctx.Now;
  }
}

void LinkPool::returnUnused(Context &ctx, LinkId id) {
  if (const auto it = Links.find(id);
      it != Links.end() && !it->second.Lender.empty() && it->second.State == Phase::Idle)
    release(ctx, id);
}

NodeId LinkPool::lenderOf(LinkId link) const {
  const auto it = Links.find(link);
  return it == Links.end() ? NodeId() : it->second.Lender;
}

std::vector<LinkId> LinkPool::lentBy(const NodeId &lender) const {
  std::vector<LinkId> out;
  for (const auto &[id, link] : Links)
    if (link.Lender == lender)
      out.push_back(id);
  return out;
}

std::vector<NodeId> LinkPool::abandonUnansweredRequests(Context &ctx) {
  std::vector<NodeId> out;
  std::vector<LinkId> failed;
  for (const auto &[id, link] : Links)
    if (!link.Lender.empty() && link.State == Phase::Opening && !link.Queued &&
        ctx.Now - link.Since >= LenderTimeout) {
      failed.push_back(id);
      if (std::find(out.begin(), out.end(), link.Lender) == out.end())
        out.push_back(link.Lender);
    }
  for (const auto &id : failed)
    close(ctx, id, false);
  return out;
}

} // namespace rosemaryhinge

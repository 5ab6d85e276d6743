// The claims that were unfinished when this proxy was registered.
//
// The holder of such a claim may have listed the proxies before this one was registered, and does not ask it
// for the commits that it reports. So a proxy of a fleet sends no commit until it has listed the claims after
// its registration, and has raised its own fence for each that is unfinished. The holder of any later claim
// lists this proxy. The same holds for a proxy that registers again, since its entry was lost.

#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr Duration CallTimeout = 800ms;
/// Interval at which unfinished claims are listed again, and pause after a list that failed.
constexpr Duration StartupListInterval = 300ms;

} // namespace

void LeadershipModule::readStartupClaims(Context &ctx, LeadershipServices &services) {
  const bool needed = services.Sessions.commitsHeld(services.Fleet) || !Startup.RaisedAt.empty();
  if (!needed || Startup.Call || services.Fleet.registration() == 0 || ctx.Now < Startup.ListAt)
    return;
  Startup.Registration = services.Fleet.registration();
  listStartupClaims(ctx);
}

void LeadershipModule::listStartupClaims(Context &ctx) {
  Startup.Call = ctx.call(Module::Leadership);
  const ListDirectory request{DirectoryKind::Claims, lastName(Startup.Pages)};
  ctx.emit(DirectoryCall{*Startup.Call, CallTimeout, request});
}

void LeadershipModule::scheduleStartupList(Context &ctx) {
  Startup.ListAt = ctx.Now + StartupListInterval;
  if (Next)
    Next = std::min(*Next, Startup.ListAt);
}

void LeadershipModule::onStartupClaims(Context &ctx, LeadershipServices &services,
                                       const DirectoryAnswer &event) {
  Startup.Call.reset();
  const auto *listing = std::get_if<DirectoryListing>(&event.Result);
  if (!listing) {
    ctx.emit(Count{"startup_claim_failures_total"});
    Startup.Pages.clear();
    scheduleStartupList(ctx);
    return;
  }
  Startup.Pages.insert(Startup.Pages.end(), listing->Objects.begin(), listing->Objects.end());
  if (listing->More && !lastName(listing->Objects).empty()) {
    listStartupClaims(ctx);
    return;
  }
  std::map<DatabaseId, Claim> claims;
  for (const auto &object : std::exchange(Startup.Pages, {}))
    if (const auto *one = std::get_if<Claim>(&object.Value))
      claims[one->Service] = *one;
  if (services.Sessions.commitsHeld(services.Fleet))
    for (const auto &[service, claim] : claims)
      if (!claim.Done)
        Startup.RaisedAt.emplace(service, 0);
  for (auto it = Startup.RaisedAt.begin(); it != Startup.RaisedAt.end();) {
    const auto claim = claims.find(it->first);
    const auto *current = claim == claims.end() ? nullptr : &claim->second;
    it = followStartupClaim(ctx, services, it->first, it->second, current) ? std::next(it)
                                                                           : Startup.RaisedAt.erase(it);
  }
  services.Sessions.allowCommits(Startup.Registration);
  if (!Startup.RaisedAt.empty())
    scheduleStartupList(ctx);
}

bool LeadershipModule::followStartupClaim(Context &ctx, LeadershipServices &services,
                                          const DatabaseId &service, std::uint64_t &raisedAt,
                                          const Claim *claim) {
  auto &fence = services.Sessions.commitFence(service);
  if (!claim || claim->Done) {
    fence.end(claim ? claim->Revision : raisedAt, claim ? claim->From : TargetId());
    return false;
  }
  // A claim of this process raises and ends the fence itself; one of an earlier process of this node does
  // not.
  if (claim->Holder == ctx.Self.Node && claim->Nonce.starts_with(std::to_string(ctx.Incarnation) + "."))
    return false;
  // Without a new revision, the fence becomes overdue, so that the claim of a holder that ended is taken
  // over.
  if (claim->Revision != raisedAt &&
      fence.raise({claim->Revision, claim->Candidate, claim->Required.Term}, ctx.Now))
    ctx.emit(Count{"startup_fences_raised_total"});
  raisedAt = claim->Revision;
  return fence.raised(ctx.Now);
}

} // namespace rosemaryhinge

// Keeps a link to the primary free for this proxy's own questions and orders.
//
// A primary whose replicas are lost answers no commit. Once commits wait on all of its connections, it
// answers nothing else either, although it runs, and cannot be told to step down.

#include "leadership/internal/pauses.h"
#include "leadership/leadershipmodule.h"

namespace rosemaryhinge {

namespace {

/// Open links from which on one is kept free. With fewer, callers' work needs them.
constexpr std::size_t LinksToKeepOne = 3;
/// Above the interval of the timer that renews the reservation.
constexpr Duration ReservationTime = 500ms;
/// Silence after which the primary is asked whether it still answers.
constexpr Duration AskAfter = 300ms;

} // namespace

void LeadershipModule::watchPrimary(Run &run) {
  const auto &primary = run.Change.Primary;
  auto &links = run.Services.Links;
  // Another proxy that changes the primary asks for it to be stopped.
  if (!primary || !run.Services.Fleet.enabled() || run.Change.State != Phase::Idle ||
      links.open(*primary) < LinksToKeepOne || links.needsLending(run.Services.Catalog, run.Service) ||
      run.Services.Fleet.rank(run.Ctx.Self.Node, run.Service.str()) >= detail::FirstClaimants)
    return;
  if (links.health(*primary).silence(run.Ctx.Now) >= AskAfter)
    sendRequest(run, *primary, Order::ReadStatus);
  // The request has used the reservation up.
  links.reserveForChange(*primary, run.Ctx.Now, ReservationTime);
}

} // namespace rosemaryhinge

// The order that makes a server the primary, and the wait for its effect.

#include "leadership/internal/pauses.h"
#include "leadership/leadershipmodule.h"

namespace rosemaryhinge {

namespace {

constexpr Duration PromoteTimeout = 900ms;
constexpr Duration FencedPause = 1s;
constexpr int MaxPromotionAttempts = 8;
constexpr Duration NewPrimaryTimeout = 4s;

} // namespace

void LeadershipModule::recordOutstandingOrder(Run &run, const TargetId &server) {
  run.Change.Outstanding = server;
  run.Change.OutstandingAt = run.Ctx.Now;
}

void LeadershipModule::confirmClaim(Run &run) {
  enterPhase(run, Phase::ConfirmingClaim);
  // Drops a renewal on its way: if it was accepted, this write conflicts with it and is repeated.
  writeClaim(run, run.Change.Candidate, false);
}

void LeadershipModule::promote(Run &run) {
  auto &change = run.Change;
  // An order that is outstanding is repeated: the same server may lead already, and another one would undo
  // that.
  const bool repeated = change.PromotionAttempts > 0 && change.Outstanding == change.Candidate;
  if (!repeated && !choiceStands(run)) {
    enterPhase(run, Phase::SelectingCandidate);
    return;
  }
  if (change.Claim.age(run.Ctx.Now) >= detail::MaxClaimAge) {
    confirmClaim(run);
    return;
  }
  enterPhase(run, Phase::Promoting);
  renewFence(run);
  ++change.PromotionAttempts;
  change.Call = run.Ctx.call(Module::Leadership);
  run.Ctx.emit(Count{"promotions_ordered_total"});
  run.Ctx.emit(Log{LogLevel::Warn,
                   "promotion ordered",
                   {{"service", run.Service.str()},
                    {"server", change.Candidate.str()},
                    {"token", std::to_string(change.Claim.token())},
                    {"attempt", std::to_string(change.PromotionAttempts)},
                    {"ms_since_choice", std::to_string((run.Ctx.Now - change.ChosenAt) / 1ms)}}});
  run.Ctx.emit(
      PromotionCall{*change.Call, PromoteTimeout, run.Service, change.Candidate, change.Claim.token()});
}

void LeadershipModule::onPromotionAnswer(Context &ctx, LeadershipServices &services,
                                         const PromotionAnswer &event) {
  auto *it = completeCall(event.Call);
  if (!it)
    return;
  Run run{ctx, services, it->first, it->second};
  auto &change = run.Change;
  ctx.emit(Log{LogLevel::Warn,
               "promotion answered",
               {{"service", run.Service.str()},
                {"server", change.Candidate.str()},
                {"token", std::to_string(change.Claim.token())},
                {"result", event.Message}}});
  switch (event.Result) {
  case PromotionResult::Accepted:
    recordOutstandingOrder(run, change.Candidate);
    if (!change.Reason.From.empty() && change.Reason.From != change.Candidate &&
        (change.Reason.writesUnavailable() || change.SteppedDownAt))
      services.Catalog.denyPrimary(change.Reason.From);
    enterPhase(run, Phase::AwaitingPrimary);
    return;
  case PromotionResult::Fenced:
    giveUp(run, "fenced, or the server is not running", FencedPause);
    return;
  case PromotionResult::Unknown:
    recordOutstandingOrder(run, change.Candidate);
    break;
  case PromotionResult::Rejected:
    break;
  }
  if (change.PromotionAttempts >= MaxPromotionAttempts)
    giveUp(run, "the promotion was not accepted", detail::RetryDelay);
  else
    change.NextAttemptAt = ctx.Now + detail::RetryDelay;
}

void LeadershipModule::awaitPrimary(Run &run) {
  auto &change = run.Change;
  if (run.Services.Catalog.primary(run.Service) == change.Candidate) {
    complete(run);
    return;
  }
  keepClaim(run);
  // The order stays outstanding: a later one replaces it before anything is resumed.
  if (change.State == Phase::AwaitingPrimary && run.Ctx.Now - change.PhaseSince >= NewPrimaryTimeout)
    giveUp(run, "the promoted server does not lead", detail::RetryDelay);
}

} // namespace rosemaryhinge

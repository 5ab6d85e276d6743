// The commit fence that this proxy keeps for the holder of a claim: what it tells that one, and the order to
// the former primary to step down, if this proxy reaches it.
//
// A commit that was in flight when the fence was raised may still be acknowledged, by the former primary and
// any replica that receives it. So the holder is told whether there are such commits, what became of them,
// and whether the former primary has been stopped.

#include "leadership/leadershipmodule.h"

namespace rosemaryhinge {

namespace {

/// Interval at which the former primary is ordered to step down until it confirms that.
constexpr Duration StepDownInterval = 100ms;

} // namespace

void LeadershipModule::onFenceRequest(Context &ctx, LeadershipServices &services, const NodeId &from,
                                      const CommitFenceRequest &request) {
  // Bounds what a peer can make this proxy keep.
  if (!services.Catalog.limits(request.Service) && !Changes.contains(request.Service))
    return;
  const CommitFence::Bounds bounds{request.Token, request.Successor, request.UpTo};
  if (!services.Sessions.commitFence(request.Service).raise(bounds, ctx.Now)) {
    ctx.emit(Count{"commit_fences_refused_total"});
    return;
  }
  ctx.emit(Count{"commit_fences_raised_total"});
  Run run{ctx, services, request.Service, Changes[request.Service]};
  auto &kept = run.Change.Kept;
  if (!kept || kept->Holder != from || kept->Request.Former != request.Former)
    kept = detail::KeptFence{from, request, StepDownState::NotOrdered, {}, {}};
  kept->Request = request;
  stepDownForHolder(run);
  kept->Told = fenceReply(run);
  ctx.emit(SendToPeer{from, kept->Told});
}

CommitFenceReply LeadershipModule::fenceReply(const Run &run) {
  const auto &kept = *run.Change.Kept;
  const auto &sessions = run.Services.Sessions;
  return {run.Service,
          kept.Request.Token,
          sessions.acknowledgedUpTo(run.Service).value_or(Position()),
          run.Services.Fleet.knownSince(),
          sessions.unreportedCommits(run.Service, kept.Request.Former),
          kept.StepDown};
}

void LeadershipModule::keepFence(Run &run) {
  auto &kept = run.Change.Kept;
  if (!kept)
    return;
  if (!run.Services.Sessions.commitFence(run.Service).raised(run.Ctx.Now)) {
    kept.reset();
    return;
  }
  stepDownForHolder(run);
  if (kept->Holder.empty())
    return;
  auto reply = fenceReply(run);
  if (reply.Unreported == kept->Told.Unreported && reply.StepDown == kept->Told.StepDown)
    return;
  kept->Told = reply;
  reply.Update = true;
  run.Ctx.emit(SendToPeer{kept->Holder, reply});
}

void LeadershipModule::stepDownForHolder(Run &run) {
  auto &kept = *run.Change.Kept;
  if (kept.StepDown == StepDownState::SteppedDown)
    return;
  const auto &former = kept.Request.Former;
  const bool reached =
      run.Services.Catalog.server(former) && !run.Services.Links.health(former).suspect(run.Ctx.Now);
  if (kept.Request.StepDownFor == 0 || !reached || run.Change.State >= Phase::SelectingCandidate) {
    kept.StepDown = StepDownState::NotOrdered;
    return;
  }
  kept.StepDown = StepDownState::Ordered;
  if (run.Ctx.Now - kept.StepDownSentAt < StepDownInterval)
    return;
  run.Change.OrderTerm = kept.Request.StepDownFor;
  if (sendRequest(run, former, Order::StepDown))
    kept.StepDownSentAt = run.Ctx.Now;
}

void LeadershipModule::onStepDownForHolder(Run &run, const TargetId &target, const TargetStatus &status) {
  auto &kept = run.Change.Kept;
  if (!kept || target != kept->Request.Former || status.Role != TargetRole::Replica)
    return;
  kept->StepDown = StepDownState::SteppedDown;
  run.Ctx.emit(Log{LogLevel::Warn,
                   "former primary stepped down for another proxy",
                   {{"service", run.Service.str()},
                    {"server", target.str()},
                    {"holder", kept->Holder.str()},
                    {"log", detail::toString(status.Log)}}});
  keepFence(run);
}

void LeadershipModule::onFenceEnd(LeadershipServices &services, const CommitFenceEnd &end) {
  const auto it = Changes.find(end.Service);
  if (it == Changes.end())
    return;
  services.Sessions.commitFence(end.Service).end(end.Token, end.Promoted);
}

} // namespace rosemaryhinge

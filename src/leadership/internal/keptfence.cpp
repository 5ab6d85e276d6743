// The commit fence that this proxy keeps for the holder of a claim: what it tells that one, and the order to
// the former primary to step down, if this proxy reaches it.
//
// A commit that was in flight when the fence was raised may still be acknowledged, by the former primary and
// any replica that receives it. So the holder is told whether there are such commits, what became of them,
// and whether the former primary has been stopped.

#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Interval at which the former primary is ordered to step down until it confirms that.
constexpr Duration StepDownInterval = 100ms;
/// The same from then on: it leads again if it has started again.
constexpr Duration VerifyInterval = 500ms;
/// A request is acted on for this long. The holder repeats it each second.
constexpr Duration MaxRequestAge = 1500ms;
/// The holder waits for an order to a server that has answered within this time.
constexpr Duration ReplyWindow = 1s;

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
  keepRequest(run, from, request);
  stepDownForHolder(run);
  kept->Told = fenceReply(run);
  ctx.emit(SendToPeer{from, kept->Told});
}

void LeadershipModule::keepRequest(Run &run, const NodeId &from, const CommitFenceRequest &request) {
  auto &kept = run.Change.Kept;
  if (!kept || kept->Holder != from || kept->Request.Former != request.Former ||
      request.StepDownFor > kept->StepDownFor) {
    kept.emplace();
    kept->Holder = from;
  }
  kept->Request = request;
  kept->RequestedAt = run.Ctx.Now;
  kept->StepDownFor = std::max(kept->StepDownFor, request.StepDownFor);
  stepSoon(run.Ctx);
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
  const auto &former = kept.Request.Former;
  const auto now = run.Ctx.Now;
  const bool wanted = kept.Request.StepDownFor > 0 && now - kept.RequestedAt < MaxRequestAge &&
                      run.Services.Catalog.server(former) && run.Change.State < Phase::SelectingCandidate;
  if (kept.StepDown != StepDownState::SteppedDown) {
    const auto reply = run.Services.Links.health(former).lastReplyAt();
    const bool answers = reply && now - *reply < ReplyWindow;
    kept.StepDown = wanted && answers ? StepDownState::Ordered : StepDownState::NotOrdered;
  }
  const auto interval = kept.StepDown == StepDownState::SteppedDown ? VerifyInterval : StepDownInterval;
  if (!wanted || now - kept.StepDownSentAt < interval)
    return;
  run.Change.OrderTerm = kept.Request.StepDownFor;
  // Also if it is suspect: a primary whose commits wait for a replica answers nothing else.
  if (sendRequest(run, former, Order::StepDown))
    kept.StepDownSentAt = now;
}

void LeadershipModule::onStepDownForHolder(Run &run, const TargetId &target, const TargetStatus &status) {
  auto &kept = run.Change.Kept;
  if (!kept || target != kept->Request.Former)
    return;
  const bool replica = status.Role == TargetRole::Replica;
  const bool known = replica == (kept->StepDown == StepDownState::SteppedDown);
  kept->StepDown = replica ? StepDownState::SteppedDown : StepDownState::Ordered;
  if (known || !replica)
    return;
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

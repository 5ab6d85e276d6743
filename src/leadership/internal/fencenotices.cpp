// Commit fences through the store, for proxies that the holder of the claim does not reach by a message.
//
// The holder names them in a notice, and each answers in its own entry. So a proxy that is cut off from the
// others, but not from the primary, is asked as well.

#include "leadership/leadershipmodule.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Time for a proxy to answer by a message before it is asked through the store.
constexpr Duration MessageTime = 100ms;
constexpr Duration CallTimeout = 500ms;

} // namespace

void LeadershipModule::askThroughStore(Run &run) {
  auto &change = run.Change;
  const auto &fence = change.Fence;
  const auto now = run.Ctx.Now;
  const bool due = !change.NoticeAt || now - *change.NoticeAt >= CommitFence::RenewalInterval;
  if (!run.Services.Fleet.enabled() || change.NoticeCall || !due || !fence.askedFor(MessageTime, now) ||
      !change.Claim.held(now))
    return;
  if (auto unreached = fence.unreached(now); !unreached.empty())
    putNotice(run, std::move(unreached), false);
}

void LeadershipModule::putNotice(Run &run, std::vector<NodeId> unanswered, bool create) {
  auto &change = run.Change;
  const auto &fence = change.Fence;
  change.NoticeAt = run.Ctx.Now;
  change.NoticeCall = run.Ctx.call(Module::Leadership);
  const auto upTo = std::max(detail::highestLogTerm(change.Servers), requiredPosition(run).Term);
  run.Ctx.emit(Count{"commit_fence_notices_total"});
  run.Ctx.emit(DirectoryCall{*change.NoticeCall, CallTimeout,
                             PutFenceNotice{{run.Service, fence.token(), upTo, std::move(unanswered), false,
                                             TargetId(), change.Reason.From, stepDownTerm(run)},
                                            create}});
}

bool LeadershipModule::onNoticeAnswer(Context &ctx, LeadershipServices &services,
                                      const DirectoryAnswer &event) {
  const auto it = std::find_if(Changes.begin(), Changes.end(),
                               [&](const auto &one) { return one.second.NoticeCall == event.Call; });
  if (it == Changes.end())
    return false;
  auto &change = it->second;
  change.NoticeCall.reset();
  if (std::holds_alternative<FenceNoticeConflict>(event.Result) && change.Fence.started()) {
    Run run{ctx, services, it->first, change};
    // The first notice of a service creates the object.
    putNotice(run, change.Fence.unreached(ctx.Now), true);
  }
  return true;
}

void LeadershipModule::readStoredAnswers(Run &run) {
  auto &change = run.Change;
  if (!change.NoticeAt)
    return;
  const auto &fleet = run.Services.Fleet;
  const auto unreached = change.Fence.unreached(run.Ctx.Now);
  for (const auto &node : unreached) {
    const auto *entry = fleet.entry(node);
    if (!entry)
      continue;
    if (const auto it = entry->FenceAnswers.find(run.Service); it != entry->FenceAnswers.end())
      change.Fence.onStoredAnswer(node, it->second, entry->KnownSince, run.Ctx.Now);
  }
  if (!unreached.empty())
    run.Services.Fleet.refresh(run.Ctx);
}

void LeadershipModule::endNotice(Run &run, const TargetId &promoted) {
  auto &change = run.Change;
  if (!std::exchange(change.NoticeAt, std::nullopt))
    return;
  change.NoticeCall = run.Ctx.call(Module::Leadership);
  run.Ctx.emit(DirectoryCall{*change.NoticeCall, CallTimeout,
                             PutFenceNotice{{run.Service, change.Fence.token(), 0, {}, true, promoted}}});
}

void LeadershipModule::onFenceNotice(Context &ctx, LeadershipServices &services, const FenceNotice &notice) {
  // Bounds what a notice can make this proxy keep.
  if (!services.Catalog.limits(notice.Service) && !Changes.contains(notice.Service))
    return;
  auto &fence = services.Sessions.commitFence(notice.Service);
  auto &change = Changes[notice.Service];
  if (notice.Ended) {
    if (change.AnsweredNotice > 0)
      fence.end(notice.Token, notice.Promoted);
    return;
  }
  const auto &named = notice.Unanswered;
  if (std::find(named.begin(), named.end(), ctx.Self.Node) == named.end() ||
      notice.Token <= change.AnsweredNotice || !fence.raise({notice.Token, TargetId(), notice.UpTo}, ctx.Now))
    return;
  change.AnsweredNotice = notice.Token;
  Run run{ctx, services, notice.Service, change};
  // A holder that reaches this proxy is told more.
  if (!change.Kept || change.Kept->Request.Token < notice.Token)
    keepRequest(run, NodeId(),
                {notice.Service, notice.Token, TargetId(), notice.UpTo, notice.Former, notice.StepDownFor});
  ctx.emit(Count{"commit_fences_raised_total{through=\"store\"}"});
  const auto acknowledged = services.Sessions.acknowledgedUpTo(notice.Service).value_or(Position());
  services.Fleet.answerFence(
      ctx, notice.Service,
      {notice.Token, acknowledged, services.Sessions.unreportedCommits(notice.Service, notice.Former)});
}

} // namespace rosemaryhinge

// Log lines of a change of primary: on what a choice rests, and what happens to it before the promotion takes
// effect.

#include "leadership/leadershipmodule.h"
#include "protocol/storerevision.h"

#include <utility>

namespace rosemaryhinge {

namespace {

template <typename Range> std::string joined(const Range &ids) {
  std::string out;
  for (const auto &it : ids)
    out += (out.empty() ? "" : ",") + it.str();
  return out;
}

} // namespace

void LeadershipModule::logSuspicion(Run &run, const std::optional<detail::ChangeReason> &reason) {
  auto &since = run.Change.SuspectedSince;
  if (reason && !since) {
    since = run.Ctx.Now;
    run.Ctx.emit(Count{"primary_suspicions_total{reason=\"" + std::string(toString(reason->Kind)) + "\"}"});
    run.Ctx.emit(Log{LogLevel::Warn,
                     "primary suspected",
                     {{"service", run.Service.str()}, {"server", reason->From.str()}, {"why", reason->Why}}});
  } else if (!reason && since) {
    run.Ctx.emit(
        Log{LogLevel::Info,
            "primary no longer suspected",
            {{"service", run.Service.str()}, {"after_ms", std::to_string((run.Ctx.Now - *since) / 1ms)}}});
    since.reset();
  }
}

void LeadershipModule::logChoice(Run &run, detail::Coverage coverage) {
  const auto &change = run.Change;
  const auto &from = change.Reason.From;
  const auto reply = run.Services.Links.health(from).lastReplyAt();
  const auto former = change.Servers.find(from);
  const bool formerHoldsMore = former != change.Servers.end() && former->second.Status &&
                               former->second.Status->Log > change.CandidateLog;
  if (formerHoldsMore)
    run.Ctx.emit(Count{"promotions_behind_former_total"});
  run.Ctx.emit(Log{LogLevel::Warn,
                   "server chosen to lead",
                   {{"service", run.Service.str()},
                    {"server", change.Candidate.str()},
                    {"term", std::to_string(change.CandidateLog.Term)},
                    {"position", std::to_string(change.CandidateLog.Lsn)},
                    {"required", detail::toString(positionToCover(run))},
                    {"coverage", std::string(detail::describe(coverage))},
                    {"compared", detail::describe(change.Servers)},
                    {"passed_over", joined(change.PassedOver)},
                    {"fence", change.Fence.complete(run.Ctx.Now) ? "complete" : "incomplete"},
                    {"fence_members", joined(change.Fence.members())},
                    {"fence_silent", joined(change.Fence.silent(run.Ctx.Now))},
                    {"fence_late", joined(change.Fence.late())},
                    {"fence_acknowledged", detail::toString(change.Fence.acknowledged())},
                    {"commits_unanswered", commitsUnanswered(run) ? "yes" : "no"},
                    {"unanswered_at", joined(change.Fence.unanswered())},
                    {"server_acknowledged", detail::toString(change.ServerAcknowledged)},
                    {"stepped_down_for_peer", change.Fence.steppedDownAt() ? "yes" : "no"},
                    {"claim_revision", std::to_string(storeNumber(change.Claim.token()))},
                    {"servers_revision", std::to_string(storeNumber(run.Services.Catalog.serversRevision()))},
                    {"former_stepped_down", change.SteppedDownAt ? "yes" : "no"},
                    {"former_holds_more", formerHoldsMore ? "yes" : "no"},
                    {"former_reply_ms", reply ? std::to_string((run.Ctx.Now - *reply) / 1ms) : "never"},
                    {"ms", std::to_string((run.Ctx.Now - change.StartedAt) / 1ms)}}});
}

void LeadershipModule::logPassedOver(Run &run, const MissingServer &server, const std::string &why) {
  if (!run.Change.PassedOver.insert(server.Target).second)
    return;
  const auto known = run.Change.Servers.find(server.Target);
  const bool compared = known != run.Change.Servers.end() && known->second.Status;
  run.Ctx.emit(Log{LogLevel::Info,
                   "server that has left is not compared",
                   {{"service", run.Service.str()},
                    {"server", server.Target.str()},
                    {"log", compared ? detail::toString(known->second.Status->Log) : "unknown"},
                    {"left_ms", std::to_string((run.Ctx.Now - server.Since) / 1ms)},
                    {"announced", server.Announced ? "yes" : "no"},
                    {"why", why}}});
}

void LeadershipModule::logEndedPause(Run &run, const TargetId &target, const detail::ServerState &known,
                                     const TargetStatus &status) {
  run.Ctx.emit(Count{"pauses_ended_early_total"});
  run.Ctx.emit(Log{LogLevel::Warn,
                   "pause has ended without an order of this change",
                   {{"service", run.Service.str()},
                    {"server", target.str()},
                    {"log", detail::toString(status.Log)},
                    {"paused_at", known.Status ? detail::toString(known.Status->Log) : "unknown"}}});
}

void LeadershipModule::logJoinedServers(Run &run) {
  auto &change = run.Change;
  for (const auto &target : run.Services.Catalog.servers(run.Service)) {
    if (change.Servers.contains(target) || !change.JoinedAfterChoice.insert(target).second)
      continue;
    run.Ctx.emit(Count{"servers_joined_after_choice_total"});
    run.Ctx.emit(Log{LogLevel::Warn,
                     "server joined after another was chosen to lead",
                     {{"service", run.Service.str()},
                      {"server", target.str()},
                      {"chosen", change.Candidate.str()},
                      {"position", detail::toString(change.CandidateLog)}}});
  }
}

void LeadershipModule::logUnansweredOrder(Run &run) {
  const auto &change = run.Change;
  run.Ctx.emit(Count{"orders_outlived_total"});
  run.Ctx.emit(Log{LogLevel::Warn,
                   "order without an answer may still be carried out",
                   {{"service", run.Service.str()}, {"server", change.Outstanding.str()}}});
}

void LeadershipModule::forgetOutstandingOrder(Run &run, std::string_view why) {
  const auto server = std::exchange(run.Change.Outstanding, TargetId());
  if (server.empty())
    return;
  run.Ctx.emit(Log{LogLevel::Info,
                   "order is not outstanding any more",
                   {{"service", run.Service.str()}, {"server", server.str()}, {"why", std::string(why)}}});
}

} // namespace rosemaryhinge

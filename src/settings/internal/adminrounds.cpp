// Operators' commands that wait for other members: set and unset once the change is written, and verify. Each
// follows a round down the tree of members and replies when it is settled or the deadline has passed.

#include "settings/internal/adminrounds.h"

#include "settings/internal/admincalls.h"
#include "settings/internal/adminreply.h"
#include "settings/internal/memberreport.h"
#include "settings/internal/spreader.h"

#include <algorithm>
#include <map>
#include <set>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

constexpr Duration VerifyWait = 4s;
constexpr Duration PushPatience = 5s;

/// Members of a round that have not answered. Before the round is settled, it includes whole parts of the
/// tree.
std::set<NodeId> openMembers(const Round &round, const IMembers &members) {
  std::set<NodeId> out;
  auto add = [&](const NodeId &it) {
    if (members.isLive(it))
      out.insert(it);
  };
  for (const auto &it : round.Missing)
    add(it);
  for (const auto &branch : round.Branches) {
    if (branch.Done)
      continue;
    if (!branch.Heard)
      add(branch.Child);
    for (const auto &it : branch.Descendants)
      add(it);
  }
  return out;
}

bool coversAll(const Round &round, const IMembers &members, const NodeId &self) {
  const auto &live = members.live();
  return std::all_of(live.begin(), live.end(), [&](const auto &it) {
    return it.Node == self || (round.Targets.contains(it.Node) && !round.Missing.contains(it.Node));
  });
}

json changeJson(const AdminSession &session) {
  json out = {{"revision", session.Revision},
              {"change_id", session.ChangeId},
              {"already_applied", session.AlreadyApplied}};
  return out;
}

/// Answers to a query, and the members that have not answered.
struct Reports {
  std::map<NodeId, SettingsInForce> ByNode;
  std::set<NodeId> Missing;
};

Reports collectReports(const SettingsState &state, const Context &ctx, const AdminSession &session) {
  Reports out;
  auto it = state.Rounds.find(session.RoundNumber);
  if (it != state.Rounds.end()) {
    out.ByNode = it->second.Reports;
    // A member that died during the query has proven nothing and is named too.
    for (const auto &node : it->second.Targets)
      if (!out.ByNode.contains(node))
        out.Missing.insert(node);
  }
  out.ByNode[ctx.Self.Node] = {ctx.Self.Node, ctx.Incarnation, state.Current.Revision,
                               ctx.Now - state.Current.Since};
  return out;
}

/// Revisions in force at the live members, compared with the highest that is known.
struct Verification {
  std::uint64_t Expected = 0;
  json Members = json::array();
  std::size_t InForce = 0; ///< Members that have the expected revision in force.
  std::set<NodeId> Missing;
};

Verification compareReports(const AdminSession &session, const IMembers &members, Reports reports) {
  Verification out;
  out.Missing = std::move(reports.Missing);
  out.Expected = session.StoreRevision.value_or(0);
  for (const auto &[node, report] : reports.ByNode)
    out.Expected = std::max(out.Expected, report.Revision);
  for (const auto &member : members.live()) {
    auto report = reports.ByNode.find(member.Node);
    if (report == reports.ByNode.end()) {
      out.Missing.insert(member.Node);
      continue;
    }
    bool current = report->second.Revision == out.Expected;
    out.InForce += current ? 1 : 0;
    out.Members.push_back({{"node", member.Node.str()},
                           {"incarnation", report->second.Incarnation},
                           {"revision", report->second.Revision},
                           {"in_force_ms", report->second.Since.count() / 1000},
                           {"current", current}});
  }
  return out;
}

} // namespace

void beginSpread(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session) {
  session.Now = AdminSession::Step::Spreading;
  session.Call.reset();
  if (!session.Wait) {
    startPush(state, ctx, members, PushPatience);
    auto body = changeJson(session);
    body["waited"] = false;
    replyAdmin(ctx, session.Id, 200, body);
    session.Id = 0;
    return;
  }
  auto patience = std::max(PushPatience, Duration(session.Deadline - ctx.Now)) + StoreRetry;
  session.RoundNumber = startPush(state, ctx, members, patience);
  listVms(ctx, session);
}

void finishWait(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session) {
  auto it = state.Rounds.find(session.RoundNumber);
  bool all =
      it != state.Rounds.end() && it->second.settled() && coversAll(it->second, members, ctx.Self.Node);
  bool late = ctx.Now >= session.Deadline || it == state.Rounds.end();
  if ((!all || session.ListCall) && !late)
    return;
  auto body = changeJson(session);
  auto missing = it == state.Rounds.end() ? std::set<NodeId>{} : openMembers(it->second, members);
  for (const auto &node : missing)
    state.MissingSince.try_emplace(node, session.StartedAt);
  body["waited"] = true;
  body["waited_ms"] = (ctx.Now - session.StartedAt).count() / 1000;
  body["everywhere"] = all;
  body["in_force"] = members.live().size() - missing.size();
  body["missing"] = missingJson(state, ctx, missing);
  body["died"] = json::array();
  if (it != state.Rounds.end())
    for (const auto &node : it->second.Targets)
      if (!members.isLive(node))
        body["died"].push_back(node.str());
  body["live"] = liveJson(session, members);
  replyAdmin(ctx, session.Id, 200, body);
  session.Id = 0;
}

void beginVerify(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session) {
  session.Deadline = std::min(session.Deadline, ctx.Now + VerifyWait);
  session.RoundNumber = startQuery(state, ctx, members, VerifyWait + StoreRetry);
  listVms(ctx, session);
}

void finishVerify(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session) {
  auto it = state.Rounds.find(session.RoundNumber);
  bool settled =
      it == state.Rounds.end() || (it->second.settled() && coversAll(it->second, members, ctx.Self.Node));
  bool late = ctx.Now >= session.Deadline;
  if ((!settled || session.Call || session.ListCall) && !late)
    return;
  auto found = compareReports(session, members, collectReports(state, ctx, session));
  for (const auto &node : found.Missing)
    state.MissingSince.try_emplace(node, session.StartedAt);
  replyAdmin(ctx, session.Id, 200,
             {{"revision", found.Expected},
              {"store_revision", session.StoreRevision ? json(*session.StoreRevision) : json()},
              {"verified", found.Missing.empty() && found.InForce == found.Members.size()},
              {"in_force", found.InForce},
              {"members", std::move(found.Members)},
              {"missing", missingJson(state, ctx, found.Missing)},
              {"live", liveJson(session, members)}});
  session.Id = 0;
}

} // namespace rosemaryhinge::detail

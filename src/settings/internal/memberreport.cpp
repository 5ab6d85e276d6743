// What a command reports about the members: those that lack a revision, and the differences between the
// peers' view and the platform's list.

#include "settings/internal/memberreport.h"

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

/// Names of one kind in an answer; the count beside them is complete.
constexpr std::size_t MaxNames = 100;

} // namespace

json missingJson(const SettingsState &state, Context &ctx, const std::set<NodeId> &missing) {
  json out = json::array();
  for (const auto &it : missing) {
    auto since = state.MissingSince.find(it);
    auto age = since == state.MissingSince.end() ? Duration{} : ctx.Now - since->second;
    out.push_back({{"node", it.str()}, {"missing_for_ms", age.count() / 1000}});
  }
  return out;
}

json liveJson(const AdminSession &session, const IMembers &members) {
  const auto &live = members.live();
  json out = {{"by_peers", live.size()}};
  if (!session.Vms) {
    out["by_platform"] = nullptr;
    out["platform_list"] = "unavailable";
    return out;
  }
  std::set<NodeId> listed;
  for (const auto &it : *session.Vms)
    if (!it.Leaving)
      listed.insert(it.Vm);
  std::set<NodeId> known;
  json unlisted = json::array();
  std::size_t unlistedCount = 0;
  for (const auto &it : live) {
    known.insert(it.Node);
    if (!listed.contains(it.Node) && ++unlistedCount <= MaxNames)
      unlisted.push_back(it.Node.str());
  }
  json absent = json::array();
  std::size_t absentCount = 0;
  for (const auto &it : listed)
    if (!known.contains(it) && ++absentCount <= MaxNames)
      absent.push_back(it.str());
  out["by_platform"] = live.size() - unlistedCount;
  out["platform_entries"] = session.Vms->size();
  out["live_but_not_listed"] = std::move(unlisted);
  // The platform's list names database servers too; they are no members.
  out["listed_but_no_member"] = std::move(absent);
  out["listed_but_no_member_count"] = absentCount;
  return out;
}

} // namespace rosemaryhinge::detail

// Replies to the operators' commands that only show settings: get, history and diff.

#include "settings/internal/adminviews.h"

#include "settings/effective.h"
#include "settings/internal/adminreply.h"
#include "settings/internal/settingsjson.h"
#include "settings/schema.h"

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

json nodeJson(const EffectiveNode &it) {
  json values = json::object();
  for (const auto &spec : schema())
    if (it.Node->Kind <= spec.Deepest) {
      auto origin = it.origin(spec.Key);
      values[std::string(spec.Key)] = {{"value", formatValue(spec, it.Values)},
                                       {"from", origin.empty() ? "default" : origin}};
    }
  json databases = json::array();
  for (const auto &name : it.Node->Databases)
    databases.push_back(name.Database.str());
  return {{"path", it.Path},
          {"kind", toString(it.Node->Kind)},
          {"settings", std::move(values)},
          {"databases", std::move(databases)}};
}

} // namespace

void replyGet(const SettingsState &state, Context &ctx, const AdminRequest &request, const json &body) {
  auto path = body.value("path", "/");
  auto parsed = parseTree(SettingsKey, state.Current.Tree, UnknownKeys::Skip);
  json nodes = json::array();
  for (const auto &it : effectiveNodes(parsed.Root)) {
    if (!isBelow(it.Path, path))
      continue;
    nodes.push_back(nodeJson(it));
  }
  if (nodes.empty()) {
    replyAdmin(ctx, request.Id, 404,
               errorBody("unknown_path", "no node at '" + path + "'; 'settings get' lists them"));
    return;
  }
  replyAdmin(
      ctx, request.Id, 200,
      {{"revision", state.Current.Revision},
       {"in_force_ms", state.Current.Revision == 0 ? 0 : (ctx.Now - state.Current.Since).count() / 1000},
       {"ready", state.Ready},
       {"tree", state.Current.Tree},
       {"nodes", std::move(nodes)}});
}

void replyHistory(Context &ctx, AdminSession &session, const ObjectValue &value) {
  auto object = parseSettingsObject(value.Value).value_or(SettingsObject{});
  json list = json::array();
  for (const auto &it : object.History)
    if (isBelow(it.Change.Path, session.PathFilter) && it.Revision > session.FromRevision &&
        it.Revision <= session.ToRevision)
      list.push_back(toJson(it));
  replyAdmin(
      ctx, session.Id, 200,
      {{"revision", object.Revision}, {"history", std::move(list)}, {"dropped", object.HistoryDropped}});
  session.Id = 0;
}

void replyDiff(Context &ctx, AdminSession &session, const ObjectValue &value) {
  if (!session.WholeTree) {
    replyHistory(ctx, session, value);
    return;
  }
  auto object = parseSettingsObject(value.Value).value_or(SettingsObject{});
  auto given = parseTree("tree", *session.WholeTree);
  auto before = parseTree(SettingsKey, object.Tree, UnknownKeys::Skip);
  json list = json::array();
  for (const auto &it : diffTrees(before.Root, given.Root))
    list.push_back(toJson(it));
  replyAdmin(
      ctx, session.Id, 200,
      {{"revision", object.Revision}, {"changes", std::move(list)}, {"findings", toJson(given.Found)}});
  session.Id = 0;
}

} // namespace rosemaryhinge::detail

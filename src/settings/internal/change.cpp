// Checks a change against the store's object, applies it and validates the result as a whole.

#include "settings/internal/change.h"

#include "settings/effective.h"
#include "settings/internal/adminreply.h"
#include "settings/internal/settingsjson.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

json editsJson(const AdminSession &session) {
  json out = json::array();
  for (const auto &it : session.Edits)
    out.push_back({{"path", it.Path}, {"key", it.Key}, {"value", it.Value ? json(*it.Value) : json()}});
  if (session.WholeTree)
    out.push_back({{"path", "/"}, {"key", "tree"}, {"value", "whole tree"}});
  return out;
}

/// The loser of a race sees both sides: its own edits and all changes since the revision it saw.
ChangeRefused conflict(const AdminSession &session, const SettingsObject &object, const SettingsNode &root) {
  json theirs = json::array();
  for (const auto &it : object.History)
    if (it.Revision > session.SeenRevision)
      theirs.push_back(toJson(it));
  json current = json::array();
  for (const auto &it : session.Edits) {
    const auto *node = findNode(root, it.Path);
    const auto *override = node == nullptr ? nullptr : node->find(it.Key);
    current.push_back(
        {{"path", it.Path}, {"key", it.Key}, {"value", override ? json(override->Value) : json()}});
  }
  auto body = errorBody("conflict", "revision " + std::to_string(session.SeenRevision) +
                                        " is not the latest: nothing was changed. Look at the changes since, "
                                        "then set again with revision " +
                                        std::to_string(object.Revision));
  body["your_revision"] = session.SeenRevision;
  body["revision"] = object.Revision;
  body["yours"] = editsJson(session);
  body["theirs"] = std::move(theirs);
  body["current"] = std::move(current);
  return {409, std::move(body)};
}

ChangeRefused invalid(const Diagnostics &findings) {
  auto body = errorBody("invalid", "the change is refused as a whole; correct every finding and set again");
  body["findings"] = toJson(findings);
  return {422, std::move(body)};
}

/// Effective values before and after, for every node below an edited path that carries the key.
json effectiveJson(const AdminSession &session, const SettingsNode &before, const SettingsNode &after) {
  std::map<std::string, EffectiveSettings> old;
  for (const auto &it : effectiveNodes(before))
    old[it.Path] = it.Values;
  json out = json::array();
  for (const auto &it : effectiveNodes(after))
    for (const auto &spec : schema()) {
      bool edited = std::any_of(session.Edits.begin(), session.Edits.end(), [&](const auto &edit) {
        return edit.Key == spec.Key && isBelow(it.Path, edit.Path);
      });
      auto known = old.find(it.Path);
      auto then = known == old.end() ? std::string() : formatValue(spec, known->second);
      auto now = formatValue(spec, it.Values);
      bool changed = then != now;
      if (it.Node->Kind <= spec.Deepest && (edited || (session.WholeTree && changed)))
        out.push_back(
            {{"path", it.Path}, {"key", spec.Key}, {"before", then}, {"after", now}, {"changed", changed}});
    }
  return out;
}

Diagnostics applyEdits(const AdminSession &session, SettingsNode &root) {
  Diagnostics out;
  int line = 0;
  for (const auto &it : session.Edits) {
    ++line;
    if (auto fault = applyEdit(root, it); !fault.empty())
      out.push_back({"change", line, 1, it.Path + " " + it.Key + ": " + fault});
  }
  return out;
}

/// What counts as the latest: the store's object, or the tree in force if the store was set back.
std::optional<SettingsObject> latest(const ObjectValue &value, const RevisionInForce &inForce) {
  std::optional<SettingsObject> object;
  if (value.Version > 0)
    object = parseSettingsObject(value.Value);
  if (object && object->Revision >= inForce.Revision)
    return object;
  if (inForce.Revision == 0 && !object && value.Version > 0)
    return std::nullopt;
  if (!object)
    object.emplace();
  object->Revision = inForce.Revision;
  object->Tree = inForce.Tree;
  return object;
}

} // namespace

ChangeResult computeChange(AdminSession &session, const ObjectValue &value, const RevisionInForce &inForce) {
  auto object = latest(value, inForce);
  if (!object && !session.WholeTree)
    return ChangeRefused{422, errorBody("invalid", "settings/tree holds neither a settings object nor a YAML "
                                                   "tree; store a whole tree with 'settings set --file'")};
  if (!object)
    object.emplace();
  if (auto known = object->revisionOf(session.ChangeId))
    return ChangeKnown{*known};
  auto before = parseTree(SettingsKey, object->Tree, UnknownKeys::Skip);
  if (object->Revision != session.SeenRevision)
    return conflict(session, *object, before.Root);
  auto after = before.Root;
  Diagnostics found;
  std::string text;
  if (session.WholeTree) {
    text = *session.WholeTree;
    auto parsed = parseTree("tree", text);
    found = std::move(parsed.Found);
    after = std::move(parsed.Root);
  } else {
    found = applyEdits(session, after);
    text = formatTree(after);
    // Limits that contradict each other show only in the tree as a whole.
    if (found.empty())
      found = parseTree("tree after the change", text, UnknownKeys::Skip).Found;
  }
  if (!found.empty())
    return invalid(found);
  auto differences = diffTrees(before.Root, after);
  if (session.DryRun) {
    json changes = json::array();
    for (const auto &it : differences)
      changes.push_back(toJson(it));
    return ChangeShown{{{"dry_run", true},
                        {"revision", object->Revision},
                        {"changes", std::move(changes)},
                        {"effective", effectiveJson(session, before.Root, after)}}};
  }
  ++object->Revision;
  object->ChangeId = session.ChangeId;
  object->Author = session.Author;
  object->Time = session.Time;
  object->Tree = std::move(text);
  object->Plain = false;
  // A change that alters nothing still leaves an entry, so that its change id is recognised.
  if (differences.empty())
    differences.push_back({"/", "none", "", ""});
  for (const auto &it : differences)
    object->History.push_back(
        {object->Revision, session.ChangeId, session.Author, session.Time, session.Why, it});
  EffectiveSettings root;
  for (const auto &it : after.Overrides)
    if (const auto *spec = findSetting(it.Key); spec != nullptr)
      (void)setValue(*spec, it.Value, root);
  auto out = formatSettingsObject(*object, root.Tree.HistoryLimit);
  if (!out)
    return ChangeRefused{413, errorBody("too_large", "the tree does not fit into 1 MB; nothing was changed. "
                                                     "Move common values up to the groups and the root")};
  session.Next = std::move(*object);
  return ChangeReady{std::move(*out)};
}

} // namespace rosemaryhinge::detail

// Reads operators' commands on settings: the kind of the command and the fields of its body.

#include "settings/internal/admincommand.h"

#include <algorithm>
#include <chrono>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

constexpr Duration DefaultWait = 10s;
constexpr Duration MaxWait = 60s;

std::string textOf(const json &value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

void readEdits(AdminSession &session, const json &body, bool unset) {
  auto add = [&](const json &it) {
    SettingsEdit edit{it.at("path").get<std::string>(), it.at("key").get<std::string>(), std::nullopt};
    if (!unset && !(it.contains("value") && it.at("value").is_null()))
      edit.Value = textOf(it.at("value"));
    session.Edits.push_back(std::move(edit));
  };
  if (body.contains("tree"))
    session.WholeTree = body.at("tree").get<std::string>();
  else if (body.contains("changes"))
    std::for_each(body.at("changes").begin(), body.at("changes").end(), add);
  else
    add(body);
}

void readChange(AdminSession &session, const json &body, const std::string &command) {
  session.SeenRevision = body.at("revision").get<std::uint64_t>();
  session.ChangeId = body.at("change_id").get<std::string>();
  session.Author = body.at("author").get<std::string>();
  session.Time = body.value("time", "");
  session.Why = body.value("why", "");
  session.DryRun = body.value("dry_run", false);
  session.Wait = body.value("wait", false);
  readEdits(session, body, command == "settings.unset");
}

} // namespace

std::optional<AdminSession::Kind> sessionKind(std::string_view command) {
  if (command == "settings.history")
    return AdminSession::Kind::History;
  if (command == "settings.diff")
    return AdminSession::Kind::Diff;
  if (command == "settings.verify")
    return AdminSession::Kind::Verify;
  if (command == "settings.set" || command == "settings.unset")
    return AdminSession::Kind::Change;
  return std::nullopt;
}

void readBody(AdminSession &session, const json &body, const std::string &command) {
  if (session.What == AdminSession::Kind::Change)
    readChange(session, body, command);
  session.PathFilter = body.value("path", "/");
  session.FromRevision = body.value("from", std::uint64_t{0});
  session.ToRevision = body.value("to", ~std::uint64_t{0});
  if (session.What == AdminSession::Kind::Diff && body.contains("tree"))
    session.WholeTree = body.at("tree").get<std::string>();
  auto wait = std::chrono::milliseconds(body.value("timeout_ms", std::int64_t{DefaultWait.count() / 1000}));
  session.Deadline = session.StartedAt + std::clamp<Duration>(wait, 100ms, MaxWait);
}

} // namespace rosemaryhinge::detail

// Carries out commands through the admin port, or offline.

#include "ctl/commands.h"

#include "ctl/explain.h"
#include "ctl/http.h"
#include "ctl/render.h"
#include "settings/tree.h"
#include "settings/valuetext.h"

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace rosemaryhinge::ctl {

namespace {

using nlohmann::json;

constexpr long CallTimeoutMs = 15'000;
/// Tries of a change whose answer did not come; each with the same change id, so it is applied at most once.
constexpr std::size_t MaxTries = 3;

std::int64_t nowMicros() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string nowText() {
  auto seconds = static_cast<std::time_t>(nowMicros() / 1'000'000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  auto size = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {buf.data(), size};
}

std::string newChangeId() {
  std::random_device random;
  std::ostringstream out;
  out << std::hex;
  for (int i = 0; i < 4; ++i)
    out << random();
  return out.str();
}

std::optional<std::string> readFile(const std::string &name) {
  std::ifstream in(name);
  if (!in)
    return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

ExitCode complain(const std::string &message, ExitCode code) {
  std::cerr << "rosemaryhingectl: " << message << "\n";
  return code;
}

std::string unreachableText(const Options &options, const std::string &error) {
  std::string list;
  for (const auto &it : options.Admins)
    list += (list.empty() ? "" : ", ") + it;
  return "no proxy answered at " + list + " (" + error +
         "). Check the address given with --admin and look at http://HOST:PORT/healthz of that proxy";
}

/// Asks the proxies in turn until one answers.
HttpReply ask(const Options &options, const std::string &command, const json &body, long timeoutMs) {
  HttpReply out;
  for (const auto &it : options.Admins) {
    out = post(it, command, body, timeoutMs);
    if (out.Reached)
      return out;
  }
  return out;
}

/// Shows an answer that is not a success.
ExitCode showRefusal(const Options &options, const HttpReply &reply) {
  if (options.Json)
    std::cout << reply.Body.dump(2) << "\n";
  auto error = reply.Body.value("error", "");
  std::cerr << "rosemaryhingectl: "
            << reply.Body.value("message", "refused with status " + std::to_string(reply.Status)) << "\n";
  for (const auto &it : reply.Body.value("findings", json::array()))
    std::cerr << "  " << it.get<std::string>() << "\n";
  if (error == "conflict" && !options.Json)
    for (const auto *side : {"yours", "theirs", "current"})
      std::cerr << side << ":\n" << renderText(reply.Body.value(side, json::array()));
  if (error == "conflict")
    return ExitCode::Conflict;
  if (error == "outcome_unknown")
    return ExitCode::OutcomeUnknown;
  return reply.Status >= 500 || reply.Status == 429 ? ExitCode::Unreachable : ExitCode::Refused;
}

ExitCode show(const Options &options, const HttpReply &reply) {
  if (!reply.Reached)
    return complain(unreachableText(options, reply.Error), ExitCode::Unreachable);
  if (reply.Status != 200)
    return showRefusal(options, reply);
  if (options.Json)
    std::cout << reply.Body.dump(2) << "\n";
  else if (options.Command == "settings get")
    std::cout << renderSettings(reply.Body);
  else
    std::cout << renderText(reply.Body);
  return ExitCode::Done;
}

std::optional<long> waitMs(const Options &options) {
  auto wait = parseDuration(options.Timeout);
  if (!wait)
    return std::nullopt;
  return static_cast<long>(wait->count() / 1000);
}

/// The body of a change, without the revision. Empty if the file cannot be read.
std::optional<json> changeBody(const Options &options, long timeoutMs) {
  json body = {{"change_id", options.ChangeId.empty() ? newChangeId() : options.ChangeId},
               {"author", options.Author},
               {"why", options.Why},
               {"time", nowText()},
               {"wait", options.Wait},
               {"dry_run", options.DryRun},
               {"timeout_ms", timeoutMs}};
  if (!options.File.empty()) {
    auto text = readFile(options.File);
    if (!text)
      return std::nullopt;
    body["tree"] = *text;
    return body;
  }
  body["path"] = options.Arguments.at(0);
  body["key"] = options.Arguments.at(1);
  if (options.Command == "settings set")
    body["value"] = options.Arguments.at(2);
  return body;
}

/// Sends a change, and again with the same change id through the next proxy while its outcome is not known.
HttpReply sendChange(const Options &options, const std::string &command, const json &body, long timeoutMs) {
  HttpReply out;
  bool maybeApplied = false;
  for (std::size_t i = 0; i < std::max(MaxTries, options.Admins.size()); ++i) {
    const auto &admin = options.Admins[i % options.Admins.size()];
    out = post(admin, command, body, timeoutMs);
    if (out.Reached && out.Body.value("error", "") != "outcome_unknown")
      return out;
    maybeApplied = maybeApplied || out.Reached || out.MaybeSent;
    std::cerr << "no certain answer from " << admin << "; asking again with the same change id\n";
  }
  if (!out.Reached && maybeApplied) {
    out.Reached = true;
    out.Status = 503;
    out.Body = {{"error", "outcome_unknown"},
                {"message", "no proxy said whether the change took effect (" + out.Error +
                                "). Repeat it with --change-id " + body["change_id"].get<std::string>() +
                                ": it is applied at most once"}};
  }
  return out;
}

ExitCode change(const Options &options) {
  auto wait = waitMs(options);
  if (!wait)
    return complain("--timeout must be a duration such as 10s", ExitCode::Usage);
  auto body = changeBody(options, *wait);
  if (!body)
    return complain("cannot read " + options.File + "; check the name and its permissions", ExitCode::Usage);
  if (options.Revision >= 0) {
    (*body)["revision"] = options.Revision;
  } else {
    auto current = ask(options, "settings.get", {{"path", "/"}}, CallTimeoutMs);
    if (!current.Reached || current.Status != 200)
      return show(options, current);
    (*body)["revision"] = current.Body.value("revision", 0);
    std::cerr << "based on revision " << (*body)["revision"] << ", change id " << (*body)["change_id"]
              << "\n";
  }
  auto command = options.Command == "settings set" ? "settings.set" : "settings.unset";
  auto reply = sendChange(options, command, *body, *wait + CallTimeoutMs);
  auto code = show(options, reply);
  if (code != ExitCode::Done || !options.Wait || options.DryRun || reply.Body.value("everywhere", false))
    return code;
  return complain("the change is accepted, but some members do not have it in force yet. They follow by "
                  "themselves once they can be reached; look with 'settings verify'",
                  ExitCode::Incomplete);
}

ExitCode verify(const Options &options) {
  auto reply = ask(options, "settings.verify", json::object(), CallTimeoutMs);
  auto code = show(options, reply);
  if (code != ExitCode::Done || reply.Body.value("verified", false))
    return code;
  return complain(
      "not every live member has proven the revision; check the members that are named as missing "
      "or not current, and replace a VM that stays so",
      ExitCode::Incomplete);
}

ExitCode diff(const Options &options) {
  json body = json::object();
  if (!options.File.empty()) {
    auto text = readFile(options.File);
    if (!text)
      return complain("cannot read " + options.File + "; check the name and its permissions",
                      ExitCode::Usage);
    body["tree"] = *text;
  }
  if (options.From > 0)
    body["from"] = options.From;
  if (options.To >= 0)
    body["to"] = options.To;
  return show(options, ask(options, "settings.diff", body, CallTimeoutMs));
}

ExitCode withPath(const Options &options, const std::string &command) {
  json body = {{"path", options.Arguments.empty() ? "/" : options.Arguments.front()}};
  if (command == "settings.history" && options.From > 0)
    body["from"] = options.From;
  if (command == "settings.history" && options.To >= 0)
    body["to"] = options.To;
  return show(options, ask(options, command, body, CallTimeoutMs));
}

ExitCode report(const Options &options) {
  auto since = parseSince(options.Since, nowMicros());
  if (!since)
    return complain("--since '" + options.Since +
                        "' is neither a duration such as 10h nor a UTC time such as "
                        "2026-12-04T06:00:00Z",
                    ExitCode::Usage);
  auto records = ask(options, "report", {{"since_us", *since}}, CallTimeoutMs);
  if (!records.Reached || records.Status != 200)
    return show(options, records);
  auto settings = ask(options, "settings.get", {{"path", "/"}}, CallTimeoutMs);
  auto history = ask(options, "settings.history", json::object(), CallTimeoutMs);
  if (options.Json)
    std::cout << json{{"promised", settings.Body}, {"changes", history.Body}, {"journal", records.Body}}.dump(
                     2)
              << "\n";
  else
    std::cout << renderReport(settings.Status == 200 ? settings.Body : json::object(),
                              history.Status == 200 ? history.Body : json::object(), records.Body);
  bool whole =
      records.Body.value("store", "") == "available" && history.Status == 200 && settings.Status == 200;
  return whole ? ExitCode::Done : ExitCode::Incomplete;
}

ExitCode check(const Options &options) {
  const auto &name = options.Arguments.front();
  auto text = readFile(name);
  if (!text)
    return complain("cannot read " + name + "; check the name and its permissions", ExitCode::Usage);
  auto parsed = parseTree(name, *text);
  if (options.Json) {
    json list = json::array();
    for (const auto &it : parsed.Found)
      list.push_back({{"file", it.File}, {"line", it.Line}, {"column", it.Column}, {"message", it.Message}});
    std::cout << json{{"valid", parsed.Found.empty()}, {"findings", std::move(list)}}.dump(2) << "\n";
  } else {
    for (const auto &it : parsed.Found)
      std::cout << it.str() << "\n";
    if (parsed.Found.empty())
      std::cout << name << ": valid\n";
  }
  if (parsed.Found.empty())
    return ExitCode::Done;
  return complain(std::to_string(parsed.Found.size()) +
                      " findings; docs/settings.md lists keys, units and ranges",
                  ExitCode::Refused);
}

ExitCode explain(const Options &options) {
  std::vector<std::ifstream> files;
  std::vector<std::istream *> logs;
  for (std::size_t n = 1; n < options.Arguments.size(); ++n) {
    files.emplace_back(options.Arguments[n]);
    if (!files.back()) {
      std::cerr << options.Arguments[n] << ": cannot be read\n";
      return ExitCode::Usage;
    }
  }
  logs.reserve(files.size() + 1);
  for (auto &it : files)
    logs.push_back(&it);
  if (logs.empty())
    logs.push_back(&std::cin);
  const auto found = explainRequest(options.Arguments.front(), logs);
  if (found.Request.empty()) {
    std::cerr << "no line has this request: it reached no proxy of these logs, or the line was left out\n";
    return ExitCode::Refused;
  }
  std::cout << "request:\n";
  for (const auto &it : found.Request)
    std::cout << it << "\n";
  std::cout << "what its service, server and proxy went through around it:\n";
  for (const auto &it : found.Around)
    std::cout << it << "\n";
  return ExitCode::Done;
}

} // namespace

ExitCode run(const Options &options) {
  const auto &command = options.Command;
  if (command == "check")
    return check(options);
  if (command == "explain")
    return explain(options);
  if (command == "settings set" || command == "settings unset")
    return change(options);
  if (command == "settings verify")
    return verify(options);
  if (command == "settings diff")
    return diff(options);
  if (command == "settings get")
    return withPath(options, "settings.get");
  if (command == "settings history")
    return withPath(options, "settings.history");
  if (command == "report")
    return report(options);
  return show(options, ask(options, command, json::object(), CallTimeoutMs));
}

} // namespace rosemaryhinge::ctl

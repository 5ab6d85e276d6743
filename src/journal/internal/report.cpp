// Reading of journal objects for a report.

#include "journal/internal/report.h"

#include "journal/internal/writer.h"
#include "json/jsonparse.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

constexpr std::size_t MaxSessions = 4;
constexpr std::size_t MaxObjects = 64;
constexpr std::size_t DefaultRecords = 5000;
constexpr std::size_t MaxRecords = 20000;
constexpr Duration CallTimeout = 2s;
constexpr int MaxFailures = 3;

void read(Context &ctx, ReportSession &session) {
  session.Call = ctx.call(Module::Journal);
  auto key = session.HeadRead ? journalKey(session.Next) : std::string(JournalHeadKey);
  ctx.emit(PlatformCall{*session.Call, CallTimeout, GetObject{std::move(key)}});
}

/// Takes a record unless it ended before the wanted time. Returns false in that case.
bool take(ReportSession &session, std::string_view text) {
  auto record = parseRecord(text);
  if (!record)
    return true;
  if (record->LatestMicros && *record->LatestMicros < session.SinceMicros)
    return false;
  session.Records.push_back(std::move(*record));
  return true;
}

void addLocal(const JournalState &state, ReportSession &session) {
  for (const auto &it : state.Outgoing)
    take(session, it.Text);
  for (const auto &[id, held] : state.Held)
    take(session, held.Text);
}

void finish(const JournalState &state, Context &ctx, ReportSession &session) {
  addLocal(state, session);
  orderRecords(session.Records);
  if (session.Records.size() > session.MaxRecords) {
    session.Truncated = true;
    session.Records.erase(session.Records.begin(),
                          session.Records.end() - static_cast<std::ptrdiff_t>(session.MaxRecords));
  }
  json list = json::array();
  for (const auto &it : session.Records)
    list.push_back(json::parse(formatRecord(it)));
  json body = {{"records", std::move(list)},
               {"objects_read", session.ObjectsRead},
               {"store", session.StoreAvailable ? "available" : "unavailable"},
               {"truncated", session.Truncated}};
  ctx.emit(AdminReply{session.Id, 200, body.dump()});
  session.Id = 0;
}

void onObject(JournalState &state, Context &ctx, ReportSession &session, const ObjectValue &value) {
  if (!session.HeadRead) {
    session.HeadRead = true;
    // The head names the last object late; the one after it may exist already.
    session.Next = (value.Version == 0 ? 0 : parseHead(value.Value).value_or(0)) + 1;
    read(ctx, session);
    return;
  }
  bool old = false;
  if (value.Version > 0) {
    ++session.ObjectsRead;
    std::istringstream in(value.Value);
    for (std::string line; std::getline(in, line);)
      old = !take(session, line) || old;
  }
  --session.Next;
  session.Truncated = session.Next > 0 && !old &&
                      (session.ObjectsRead >= MaxObjects || session.Records.size() >= session.MaxRecords);
  if (session.Next == 0 || old || session.Truncated)
    finish(state, ctx, session);
  else
    read(ctx, session);
}

void refuse(Context &ctx, std::uint64_t id, int status, std::string_view error, std::string message) {
  ctx.emit(AdminReply{id, status, json{{"error", error}, {"message", std::move(message)}}.dump()});
}

} // namespace

void startReport(JournalState &state, Context &ctx, const AdminRequest &request) {
  if (state.Reports.size() >= MaxSessions) {
    refuse(ctx, request.Id, 429, "busy", "other reports are being read; try again in a few seconds");
    return;
  }
  ReportSession session;
  session.Id = request.Id;
  try {
    auto body = request.Body.empty() ? json::object() : parseJson(request.Body);
    session.SinceMicros = body.value("since_us", std::int64_t{0});
    session.MaxRecords = std::clamp<std::size_t>(body.value("max_records", DefaultRecords), 1, MaxRecords);
  } catch (const std::exception &e) {
    refuse(ctx, request.Id, 400, "bad_request",
           std::string("since_us and max_records must be numbers: ") + e.what());
    return;
  }
  read(ctx, session);
  state.Reports.push_back(std::move(session));
}

bool onReportAnswer(JournalState &state, Context &ctx, const PlatformAnswer &event) {
  auto it = std::find_if(state.Reports.begin(), state.Reports.end(),
                         [&](const auto &r) { return r.Call == event.Call; });
  if (it == state.Reports.end())
    return false;
  it->Call.reset();
  if (const auto *value = std::get_if<ObjectValue>(&event.Result)) {
    onObject(state, ctx, *it, *value);
  } else if (++it->Failures < MaxFailures) {
    read(ctx, *it);
  } else {
    it->StoreAvailable = false;
    finish(state, ctx, *it);
  }
  std::erase_if(state.Reports, [](const auto &r) { return r.Id == 0; });
  return true;
}

} // namespace rosemaryhinge::detail

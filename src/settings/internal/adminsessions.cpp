// Sessions of the operators' commands on settings: admits a command, passes answers to its session and ends
// those that are complete or overdue.

#include "settings/internal/adminsessions.h"

#include "settings/internal/admincalls.h"
#include "settings/internal/admincommand.h"
#include "settings/internal/adminreply.h"
#include "settings/internal/adminrounds.h"
#include "settings/internal/adminstore.h"
#include "settings/internal/adminviews.h"
#include "json/jsonparse.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

constexpr std::size_t MaxSessions = 64;
/// Time to find out whether a change took effect, before the answer is "unknown".
constexpr Duration StorePatience = 10s;

} // namespace

void startAdmin(SettingsState &state, Context &ctx, const IMembers &members, const AdminRequest &request) {
  AdminSession session;
  session.Id = request.Id;
  session.StartedAt = ctx.Now;
  try {
    auto body = request.Body.empty() ? json::object() : parseJson(request.Body);
    if (request.Command == "settings.get") {
      replyGet(state, ctx, request, body);
      return;
    }
    auto kind = sessionKind(request.Command);
    if (!kind) {
      replyAdmin(ctx, request.Id, 404,
                 errorBody("unknown_command", "known are settings.get, set, unset, diff, history, verify"));
      return;
    }
    session.What = *kind;
    readBody(session, body, request.Command);
  } catch (const std::exception &e) {
    replyAdmin(ctx, request.Id, 400,
               errorBody("bad_request", std::string("the body is not as expected: ") + e.what() +
                                            "; docs/OPERATIONS.md describes the fields"));
    return;
  }
  if (session.What == AdminSession::Kind::Change && session.ChangeId.empty()) {
    replyAdmin(ctx, request.Id, 400,
               errorBody("bad_request", "change_id must not be empty; rosemaryhingectl makes one"));
    return;
  }
  if (state.Sessions.size() >= MaxSessions) {
    ctx.emit(Count{"settings_admin_refused_total"});
    replyAdmin(ctx, request.Id, 429,
               errorBody("busy", "too many settings commands at once; try again in a second"));
    return;
  }
  if (session.What == AdminSession::Kind::Verify)
    beginVerify(state, ctx, members, session);
  readObject(ctx, session);
  if (session.What == AdminSession::Kind::Verify)
    session.Now = AdminSession::Step::Spreading;
  state.Sessions[request.Id] = std::move(session);
}

bool onAdminAnswer(SettingsState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event) {
  for (auto &[id, session] : state.Sessions) {
    if (event.Call == session.ListCall) {
      session.ListCall.reset();
      if (const auto *list = std::get_if<VmList>(&event.Result))
        session.Vms = list->Vms;
      return true;
    }
    if (event.Call == session.Call) {
      onCallAnswer(state, ctx, members, session, event);
      return true;
    }
  }
  return false;
}

void checkAdmin(SettingsState &state, Context &ctx, const IMembers &members) {
  for (auto &[id, session] : state.Sessions) {
    if (session.Id == 0)
      continue;
    if (session.Now == AdminSession::Step::Spreading) {
      if (session.What == AdminSession::Kind::Verify)
        finishVerify(state, ctx, members, session);
      else
        finishWait(state, ctx, members, session);
    } else if (ctx.Now >= session.StartedAt + StorePatience) {
      giveUpOnStore(ctx, session);
    } else if (session.TryAgain && ctx.Now >= session.NextTry) {
      readObject(ctx, session);
    }
  }
  std::erase_if(state.Sessions, [](const auto &it) { return it.second.Id == 0; });
}

std::optional<TimePoint> earliestAdmin(const SettingsState &state) {
  std::optional<TimePoint> out;
  for (const auto &[id, session] : state.Sessions) {
    auto due =
        session.Now == AdminSession::Step::Spreading ? session.Deadline : session.StartedAt + StorePatience;
    if (session.TryAgain)
      due = std::min(due, session.NextTry);
    if (!out || due < *out)
      out = due;
  }
  return out;
}

} // namespace rosemaryhinge::detail

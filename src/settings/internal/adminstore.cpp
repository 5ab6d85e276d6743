// Operators' commands on settings as far as they wait for the store: reading the object, updating it, and
// recognising an update whose answer was lost.

#include "settings/internal/adminstore.h"

#include "settings/internal/acceptance.h"
#include "settings/internal/admincalls.h"
#include "settings/internal/adminreply.h"
#include "settings/internal/adminrounds.h"
#include "settings/internal/adminviews.h"
#include "settings/internal/change.h"
#include "settings/internal/spreader.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

using nlohmann::json;

/// Repeats the read later: the store did not answer or could not be reached.
void retryLater(Context &ctx, AdminSession &session) {
  session.Call.reset();
  ctx.emit(CountRetry{RetryReason::StoreFailure});
  session.TryAgain = true;
  session.NextTry = ctx.Now + StoreRetry;
}

void recordChange(Context &ctx, const SettingsObject &object, std::uint64_t revision) {
  for (const auto &it : object.History)
    if (it.Revision == revision)
      ctx.record(
          {"settings_change",
           {},
           it.Change.Path + " " + it.Change.Key + ": '" + it.Change.Old + "' -> '" + it.Change.New + "'",
           "set by " + it.Author + (it.Why.empty() ? "" : ": " + it.Why),
           0,
           it.Revision});
}

void onChangeRead(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session,
                  const ObjectValue &value) {
  acceptObject(state, ctx, value, "store");
  acknowledgePending(state, ctx);
  auto result = computeChange(session, value, state.Current);
  if (const auto *it = std::get_if<ChangeRefused>(&result)) {
    replyAdmin(ctx, session.Id, it->HttpStatus, it->Body);
    session.Id = 0;
  } else if (const auto *it = std::get_if<ChangeShown>(&result)) {
    replyAdmin(ctx, session.Id, 200, it->Body);
    session.Id = 0;
  } else if (const auto *it = std::get_if<ChangeKnown>(&result)) {
    session.Revision = it->Revision;
    session.AlreadyApplied = !session.MaybeWritten;
    if (session.MaybeWritten) // The update took effect although its answer was lost.
      recordChange(ctx, session.Next, it->Revision);
    beginSpread(state, ctx, members, session);
  } else {
    session.Now = AdminSession::Step::Writing;
    session.Revision = session.Next.Revision;
    session.MaybeWritten = true;
    startCall(ctx, session,
              PutObject{std::string(SettingsKey), value.Version, std::get<ChangeReady>(result).Text});
  }
}

void onWritten(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session,
               ObjectVersion version) {
  state.SeenVersion = std::max(state.SeenVersion, version);
  acceptTree(state, ctx, session.Next.Revision, session.Next.Tree, version, UnknownKeys::Skip,
             "settings.set");
  acknowledgePending(state, ctx);
  recordChange(ctx, session.Next, session.Next.Revision);
  beginSpread(state, ctx, members, session);
}

void onRead(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session,
            const ObjectValue &value) {
  switch (session.What) {
  case AdminSession::Kind::Change:
    onChangeRead(state, ctx, members, session, value);
    break;
  case AdminSession::Kind::History:
    replyHistory(ctx, session, value);
    break;
  case AdminSession::Kind::Diff:
    replyDiff(ctx, session, value);
    break;
  case AdminSession::Kind::Verify:
    if (auto object = parseSettingsObject(value.Value); object && value.Version > 0)
      session.StoreRevision = object->Revision;
    break;
  }
}

} // namespace

void onCallAnswer(SettingsState &state, Context &ctx, const IMembers &members, AdminSession &session,
                  const PlatformAnswer &event) {
  session.Call.reset();
  if (const auto *value = std::get_if<ObjectValue>(&event.Result)) {
    onRead(state, ctx, members, session, *value);
  } else if (const auto *done = std::get_if<PutDone>(&event.Result)) {
    onWritten(state, ctx, members, session, done->Version);
  } else if (std::holds_alternative<PutConflict>(event.Result)) {
    // Another operator was first, or an earlier update of this change took effect: the object tells.
    ctx.emit(CountRetry{RetryReason::StoreConflict});
    readObject(ctx, session);
  } else if (session.What != AdminSession::Kind::Verify) {
    retryLater(ctx, session);
  }
}

void giveUpOnStore(Context &ctx, AdminSession &session) {
  json body;
  if (session.MaybeWritten) {
    body = errorBody("outcome_unknown",
                     "the store did not say whether the change took effect. Set again with the "
                     "same change id: it is applied at most once");
    body["change_id"] = session.ChangeId;
  } else {
    body =
        errorBody("store_unavailable",
                  "the store does not answer; nothing was changed. The settings in force stay in force. Set "
                  "again when 'status' shows the store");
  }
  replyAdmin(ctx, session.Id, 503, body);
  session.Id = 0;
}

} // namespace rosemaryhinge::detail

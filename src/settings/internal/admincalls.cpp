// Calls to the platform that operators' commands on settings need: reads and updates of the settings object,
// and the list of VMs.

#include "settings/internal/admincalls.h"

namespace rosemaryhinge::detail {

namespace {

constexpr Duration CallTimeout = 2s;

} // namespace

void startCall(Context &ctx, AdminSession &session,
               std::variant<GetObject, PutObject, WatchObject, ListVms> what) {
  session.Call = ctx.call(Module::Settings);
  ctx.emit(PlatformCall{*session.Call, CallTimeout, std::move(what)});
}

void readObject(Context &ctx, AdminSession &session) {
  session.Now = AdminSession::Step::Reading;
  session.TryAgain = false;
  startCall(ctx, session, GetObject{std::string(SettingsKey)});
}

void listVms(Context &ctx, AdminSession &session) {
  session.ListCall = ctx.call(Module::Settings);
  ctx.emit(PlatformCall{*session.ListCall, CallTimeout, ListVms{}});
}

} // namespace rosemaryhinge::detail

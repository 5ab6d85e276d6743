// Entry points of the settings module.

#include "settings/settingsmodule.h"

#include "base/overloaded.h"
#include "settings/internal/adminsessions.h"
#include "settings/internal/spreader.h"
#include "settings/internal/storereader.h"

#include <algorithm>

namespace rosemaryhinge {

using detail::SettingsState;

SettingsModule::SettingsModule() : State(std::make_unique<SettingsState>()) {}
SettingsModule::~SettingsModule() = default;
SettingsModule::SettingsModule(SettingsModule &&) noexcept = default;
SettingsModule &SettingsModule::operator=(SettingsModule &&) noexcept = default;

void SettingsModule::onStarted(Context &ctx) { detail::startReading(*State, ctx); }

void SettingsModule::onPlatformAnswer(Context &ctx, const IMembers &members, const PlatformAnswer &event) {
  if (!detail::onStoreAnswer(*State, ctx, members, event))
    detail::onAdminAnswer(*State, ctx, members, event);
  detail::checkAdmin(*State, ctx, members);
}

void SettingsModule::onPeer(Context &ctx, const IMembers &members, const NodeId &from,
                            const PeerMessage &message) {
  auto &state = *State;
  std::visit(Overloaded{[&](const SettingsPush &it) { detail::onPush(state, ctx, from, it); },
                        [&](const SettingsAck &it) { detail::onAck(state, ctx, from, it); },
                        [&](const SettingsRequest &it) { detail::onRequest(state, ctx, from, it); },
                        [&](const SettingsQuery &it) { detail::onQuery(state, ctx, from, it); },
                        [&](const SettingsReport &it) { detail::onReport(state, ctx, from, it); },
                        [](const auto &) {}},
             message);
  detail::checkReady(state, ctx);
  detail::checkAdmin(state, ctx, members);
}

void SettingsModule::onPeerRevision(Context &ctx, const IMembers & /*members*/, const NodeId &from,
                                    std::uint64_t revision) {
  detail::considerPull(*State, ctx, from, revision);
}

void SettingsModule::onAdmin(Context &ctx, const IMembers &members, const AdminRequest &request) {
  detail::startAdmin(*State, ctx, members, request);
}

void SettingsModule::onTimer(Context &ctx, const IMembers &members) {
  detail::checkStore(*State, ctx, members);
  detail::checkRounds(*State, ctx, members);
  detail::checkAdmin(*State, ctx, members);
}

const ClassPolicy &SettingsModule::classPolicy(const DatabaseId &database, const ClassName &name) const {
  return State->Current.Policies.classPolicy(database, name);
}

const DatabasePolicy &SettingsModule::databasePolicy(const DatabaseId &database) const {
  return State->Current.Policies.databasePolicy(database);
}

const std::vector<DatabaseId> &SettingsModule::databases() const {
  return State->Current.Policies.databases();
}

std::uint64_t SettingsModule::revision() const { return State->Current.Revision; }

bool SettingsModule::ready() const { return State->Ready; }

std::optional<TimePoint> SettingsModule::nextTimer() const {
  std::optional<TimePoint> out;
  for (auto due :
       {detail::earliestStore(*State), detail::earliestRound(*State), detail::earliestAdmin(*State)})
    if (due && (!out || *due < *out))
      out = due;
  return out;
}

} // namespace rosemaryhinge

// Pushes and queries down a tree of members, and their answers upwards.

#pragma once

#include "membership/imembers.h"
#include "settings/internal/settingsstate.h"

namespace rosemaryhinge::detail {

/// Starts a push of the revision in force to all live members. Returns the number of the round.
std::uint64_t startPush(SettingsState &state, Context &ctx, const IMembers &members, Duration patience);
/// Starts a query to all live members.
std::uint64_t startQuery(SettingsState &state, Context &ctx, const IMembers &members, Duration patience);

void onPush(SettingsState &state, Context &ctx, const NodeId &from, const SettingsPush &message);
void onQuery(SettingsState &state, Context &ctx, const NodeId &from, const SettingsQuery &message);
void onAck(SettingsState &state, Context &ctx, const NodeId &from, const SettingsAck &message);
void onReport(SettingsState &state, Context &ctx, const NodeId &from, const SettingsReport &message);
/// Answers a peer that lacks the revision in force.
void onRequest(SettingsState &state, Context &ctx, const NodeId &from, const SettingsRequest &message);
/// Answers rounds that waited for the revision to be in force here.
void acknowledgePending(SettingsState &state, Context &ctx);
/// Retries and hands on what is overdue.
void checkRounds(SettingsState &state, Context &ctx, const IMembers &members);
[[nodiscard]] std::optional<TimePoint> earliestRound(const SettingsState &state);

} // namespace rosemaryhinge::detail

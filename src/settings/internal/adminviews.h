// Replies to the operators' commands that only show settings: get, history and diff.

#pragma once

#include "settings/internal/settingsstate.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::detail {

/// Replies with the tree and the effective settings in force here; needs neither the store nor other members.
void replyGet(const SettingsState &state, Context &ctx, const AdminRequest &request,
              const nlohmann::json &body);
/// Replies with the entries of the object's history that the command selects.
void replyHistory(Context &ctx, AdminSession &session, const ObjectValue &value);
/// Replies with the differences between the tree in the store and a given tree, or with the changes between
/// two revisions.
void replyDiff(Context &ctx, AdminSession &session, const ObjectValue &value);

} // namespace rosemaryhinge::detail

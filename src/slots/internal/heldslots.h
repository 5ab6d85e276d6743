// Slots that this proxy holds: claims at the servers and warm connections.

#pragma once

#include "settings/ipolicies.h"
#include "slots/internal/slotsstate.h"

namespace rosemaryhinge::detail {

/// Closes all connections of a slot that another proxy holds now.
void removeHeldSlot(Context &ctx, SlotsState &state, const SlotKey &slot);
/// Claims the held slots at their servers, and opens the warm connections of those that are claimed.
void maintainHeldSlots(Context &ctx, SlotsState &state, const IPolicies &policies);
/// Handles a server's answer to a claim. Ignores answers to other calls.
void onClaimAnswer(Context &ctx, SlotsState &state, const IPolicies &policies, const ControlAnswer &event);

} // namespace rosemaryhinge::detail

// Slots that this proxy holds. Each is claimed at its server, which from then on refuses older holders; only
// then connections are opened.

#include "slots/internal/heldslots.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

constexpr Duration ClaimTimeout = 2s;
constexpr Duration ClaimRetryInterval = 500ms;

void claimAtServer(Context &ctx, SlotsState &state, const SlotKey &slot, const HeldSlot &held) {
  auto [it, added] = state.ClaimRetryAt.try_emplace(slot, ctx.Now);
  if (ctx.Now < it->second)
    return;
  it->second = ctx.Now + ClaimTimeout + ClaimRetryInterval;
  auto call = ctx.call(Module::Slots);
  state.Claims[call] = {slot, held.Generation};
  ctx.emit(ControlCall{call, slot.Target, ClaimTimeout, ClaimSlot{slot.Slot, held.Generation}});
}

void openWarmConnections(Context &ctx, SlotsState &state, const SlotKey &slot, const HeldSlot &held,
                         std::uint32_t warm) {
  if (ctx.Now < state.Pool.retryAt(slot.Target))
    return;
  auto limit = std::min(warm, state.ConnectionsPerSlot[slot.Target]);
  for (auto n = state.Pool.counts(slot).Total; n < limit; ++n)
    state.Pool.open(ctx, slot, held.Generation);
}

} // namespace

void removeHeldSlot(Context &ctx, SlotsState &state, const SlotKey &slot) {
  state.Pool.closeSlot(ctx, slot, true);
  state.Held.erase(slot);
  ctx.emit(Log{
      LogLevel::Info, "slot given up", {{"target", slot.Target.str()}, {"slot", std::to_string(slot.Slot)}}});
}

void maintainHeldSlots(Context &ctx, SlotsState &state, const IPolicies &policies) {
  for (auto &[slot, held] : state.Held) {
    const auto &policy = policies.databasePolicy(state.DatabaseOf[slot.Target]);
    state.ConnectionsPerSlot[slot.Target] = policy.SlotConnections;
    if (held.Releasing)
      continue;
    held.Claimed = held.Claimed || !ctx.Rules.SlotLimit;
    if (!held.Claimed)
      claimAtServer(ctx, state, slot, held);
    else
      openWarmConnections(ctx, state, slot, held, policy.WarmConnections);
  }
}

void onClaimAnswer(Context &ctx, SlotsState &state, const IPolicies &policies, const ControlAnswer &event) {
  auto it = state.Claims.find(event.Call);
  if (it == state.Claims.end())
    return;
  auto claim = it->second;
  state.Claims.erase(it);
  auto held = state.Held.find(claim.Slot);
  if (held == state.Held.end() || held->second.Generation != claim.Generation)
    return;
  state.ClaimRetryAt[claim.Slot] = ctx.Now + ClaimRetryInterval;
  if (const auto *failure = std::get_if<ControlFailure>(&event.Result)) {
    // Refused: another proxy has claimed a higher generation. The table tells who.
    if (failure->Error == ControlError::Refused)
      state.Databases[state.DatabaseOf[claim.Slot.Target]].NextRead = ctx.Now;
    return;
  }
  held->second.Claimed = true;
  ctx.emit(Log{LogLevel::Info,
               "slot claimed",
               {{"target", claim.Slot.Target.str()},
                {"slot", std::to_string(claim.Slot.Slot)},
                {"generation", std::to_string(claim.Generation)}}});
  maintainHeldSlots(ctx, state, policies);
}

} // namespace rosemaryhinge::detail

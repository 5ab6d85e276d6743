// Steps of a change of primary: order, raise, wait, promote, record.

#pragma once

#include "failover/failovermodule.h"
#include "failover/internal/failoverstate.h"

#include <string>

namespace rosemaryhinge::detail {

/// Begins with the conditional update that decides between contenders.
void startPromotion(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view,
                    const std::string &why);
/// Goes on with a term that this proxy ordered and whose promotion it does not run (the answer came late).
void resumePromotion(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view);
/// Sends what is due: repeated calls, the promotion after the wait.
void advancePromotion(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db);
/// The group as the platform now has it, read or pushed.
void onGroupRead(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                 const Group &group);
/// Answer to an update by this proxy. Returns false if the call is not one of the promotion.
bool onPromotionPut(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                    const PlatformAnswer &event);
/// Answer of a server. Returns false if the call is not one of the promotion.
bool onPromotionControl(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                        const ControlAnswer &event);

/// Platform key of a group.
[[nodiscard]] std::string groupKey(const DatabaseId &database);

} // namespace rosemaryhinge::detail

// Steps of a promotion: order the term, raise it on a majority, wait, promote, record the outcome.

#pragma once

#include "failover/failovermodule.h"
#include "failover/internal/failoverstate.h"

#include <string>

namespace rosemaryhinge::detail {

/// Sends the conditional update of the group that decides between competing proxies.
void startPromotion(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view,
                    const std::string &why);
/// Continues a term that this proxy ordered but no longer has in progress, because the store's answer was
/// late.
void resumePromotion(Context &ctx, FailoverState &state, DatabaseState &db, const GroupView &view);
/// Sends retries that are due, and the promotion once the wait is over.
void advancePromotion(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db);
/// Handles a group read from the platform: resolves an update whose outcome is unknown, or resumes an order.
void onGroupRead(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                 const Group &group);
/// Handles the platform's answer to an update. Returns false if the call does not belong to the promotion.
bool onPromotionPut(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                    const PlatformAnswer &event);
/// Handles the answer of a server. Returns false if the call does not belong to the promotion.
bool onPromotionControl(Context &ctx, FailoverServices &services, FailoverState &state, DatabaseState &db,
                        const ControlAnswer &event);

[[nodiscard]] std::string groupKey(const DatabaseId &database);

} // namespace rosemaryhinge::detail

// Implementation of the acknowledgement rules.

#include "acknowledge/acknowledgement.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

bool isCovered(const UnconfirmedWrite &write, const Group &group, const Rules &rules) {
  if (!rules.NoLostWrite || write.Strength == AckStrength::Primary)
    return true;
  return write.CoveredBy.size() >= requiredReplicas(group);
}

bool isWithinWindow(const UnconfirmedWrite &write, const Group &group, const TermConfirmations &confirmations,
                    Duration window, TimePoint now, const Rules &rules) {
  if (!rules.NoStalePrimaryAck)
    return true;
  auto at = confirmations.majorityConfirmedAt(group, write.At.Term);
  return at && now - *at < window;
}

} // namespace

std::size_t requiredReplicas(const Group &group) {
  return std::max<std::size_t>(1, group.Servers.size() - group.majority());
}

void recordStatus(UnconfirmedWrite &write, const TargetId &target, const TargetStatus &status) {
  if (target == write.Executor || status.RaisedTerm != write.At.Term || status.Log.Term != write.At.Term)
    return;
  if (status.Log.Lsn >= write.At.Lsn)
    write.CoveredBy.insert(target);
}

AckVerdict mayAcknowledge(const UnconfirmedWrite &write, const Group &group,
                          const TermConfirmations &confirmations, Duration window, TimePoint now,
                          const Rules &rules) {
  const bool newerTermExists = group.Term > write.At.Term || confirmations.highestTerm(group) > write.At.Term;
  if (newerTermExists && rules.NoStalePrimaryAck)
    return AckVerdict::Superseded;
  if (!isCovered(write, group, rules))
    return AckVerdict::AwaitCoverage;
  return isWithinWindow(write, group, confirmations, window, now, rules) ? AckVerdict::Acknowledge
                                                                         : AckVerdict::AwaitWindow;
}

} // namespace rosemaryhinge

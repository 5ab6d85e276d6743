// Safety rules that the invariants check. Test programs disable single rules to verify that the check of the
// invariant fails.

#pragma once

namespace rosemaryhinge {

/// Always all true in the daemon, which cannot change them.
struct Rules {
  bool ReadYourWrites = true;       ///< A read's position must cover its session token.
  bool NoStalePrimaryAck = true;    ///< Acknowledge only within the window; promote only after it.
  bool NoLostWrite = true;          ///< Acknowledge only what a replica of the same term covers.
  bool TransactionIsolation = true; ///< A connection serves one transaction at a time.
  bool AnswerMatching = true;       ///< An answer reaches only the request whose id it carries.
  bool TrueNotRun = true;           ///< Say not_run after a send only once the marker is aborted.
  bool AtMostOnce = true;           ///< Never send again without a marker.
  bool LeavingTargetIdle = true;    ///< No new work to a leaving target.
  bool GracefulShutdown = true;     ///< End only when nothing is in flight.
  bool SettingsInForce = true;      ///< Accept only a higher revision.
  bool SlotLimit = true;            ///< Claim a slot at the server before opening connections.
};

} // namespace rosemaryhinge

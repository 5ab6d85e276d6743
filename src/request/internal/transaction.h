// An interactive transaction that is open on a connection of this proxy.

#pragma once

#include "base/id.h"
#include "base/time.h"

#include <cstdint>

namespace rosemaryhinge::detail {

struct Transaction {
  TransactionId Id;
  DatabaseId Database;
  ClassName Class;
  TargetId Target;
  ConnectionId Connection;         ///< Reserved for this transaction until it ends.
  TimePoint Deadline;              ///< Deadline of its Begin request; a shutdown may bring it forward.
  std::uint64_t AdmissionId = 0;   ///< Id of its Begin flight, under which the admission module counts it.
  std::uint64_t RunningFlight = 0; ///< Id of the flight that is executing a step; 0 between steps.
  bool ReadOnly = false;
};

} // namespace rosemaryhinge::detail

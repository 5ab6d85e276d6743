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
  ConnectionId Connection;         ///< Serves this transaction alone until it ends.
  TimePoint Deadline;              ///< That of its Begin.
  std::uint64_t AdmissionId = 0;   ///< Flight of its Begin: its entry with the admission module.
  std::uint64_t RunningFlight = 0; ///< Flight that runs on it; 0 between statements.
  bool ReadOnly = false;
};

} // namespace rosemaryhinge::detail

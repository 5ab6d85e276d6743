// All checkers of a run.

#pragma once

#include "soak/answermatching.h"
#include "soak/atmostonce.h"
#include "soak/gracefulshutdown.h"
#include "soak/leavingtargetidle.h"
#include "soak/nolostwrite.h"
#include "soak/nostaleprimaryack.h"
#include "soak/readyourwrites.h"
#include "soak/reportedinvariants.h"
#include "soak/settingsinforce.h"
#include "soak/slotlimit.h"
#include "soak/transactionisolation.h"
#include "soak/truenotrun.h"

#include <array>

namespace rosemaryhinge::soak {

struct Checkers {
  explicit Checkers(fakes::Fleet &fleet)
      : Session(fleet), Stale(fleet), Lost(fleet), Isolation(fleet), Matching(fleet), NotRun(fleet),
        Once(fleet), Leaving(fleet), Shutdown(fleet), Settings(fleet), Slots(fleet), Reported(fleet) {
    for (auto *it : all())
      fleet.Observers.push_back(it);
  }

  [[nodiscard]] std::array<Checker *, 12> all() {
    return {&Session, &Stale,   &Lost,     &Isolation, &Matching, &NotRun,
            &Once,    &Leaving, &Shutdown, &Settings,  &Slots,    &Reported};
  }
  [[nodiscard]] std::vector<Violation> violations() {
    std::vector<Violation> out;
    for (auto *it : all())
      out.insert(out.end(), it->violations().begin(), it->violations().end());
    return out;
  }

  ReadYourWrites Session;
  NoStalePrimaryAck Stale;
  NoLostWrite Lost;
  TransactionIsolation Isolation;
  AnswerMatching Matching;
  TrueNotRun NotRun;
  AtMostOnce Once;
  LeavingTargetIdle Leaving;
  GracefulShutdown Shutdown;
  SettingsInForce Settings;
  SlotLimit Slots;
  ReportedInvariants Reported;
};

} // namespace rosemaryhinge::soak

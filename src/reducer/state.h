// The complete state of a proxy's decision logic.

#pragma once

#include "catalog/catalog.h"
#include "catalog/storeera.h"
#include "directory/directorymodule.h"
#include "drain/drainmodule.h"
#include "failover/failovermodule.h"
#include "groups/grouptable.h"
#include "journal/journalmodule.h"
#include "leadership/leadershipmodule.h"
#include "lending/lender.h"
#include "lending/lenderchoice.h"
#include "links/linkpool.h"
#include "membership/membershipmodule.h"
#include "positions/positionexchange.h"
#include "protocol/rules.h"
#include "quota/quotamodule.h"
#include "request/requestmodule.h"
#include "sessions/sessionsmodule.h"
#include "settings/settingsmodule.h"
#include "slots/slotsmodule.h"

#include <cstdint>
#include <optional>
#include <random>

namespace rosemaryhinge {

struct State {
  NodeConfig Self;
  rosemaryhinge::Rules Rules;
  std::uint64_t Incarnation = 0;
  std::mt19937_64 Random;
  std::uint64_t NextNumber = 0;
  std::optional<WallClockReading> Wall;

  GroupTable Groups;
  CandidateIndex Candidates;
  SettingsModule Settings;
  MembershipModule Membership;
  SlotsModule Slots;
  FailoverModule Failover;
  RequestModule Requests;
  DrainModule Drain;
  JournalModule Journal;

  // For callers with sessions (CallerInterface::Sessions). Their events go to these modules and to Drain, not
  // to the other modules above.
  DirectoryModule Directory;
  StoreEra Era;
  rosemaryhinge::Catalog Catalog;
  LinkPool Links;
  FleetMap Fleet;
  PositionExchange Positions;
  LenderChoice Lenders;
  QuotaModule Quota;
  rosemaryhinge::Lender Lender;
  SessionsModule Sessions;
  LeadershipModule Leadership;
};

} // namespace rosemaryhinge

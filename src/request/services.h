// The other modules, as the request module uses them.

#pragma once

#include "groups/grouptable.h"
#include "membership/imembers.h"
#include "settings/ipolicies.h"
#include "slots/islots.h"

namespace rosemaryhinge {

struct Services {
  const IPolicies &Policies;
  const IMembers &Members;
  ISlots &Slots;
  GroupTable &Groups;
  bool Ready = true;    ///< Settings are in force and the fleet was joined.
  bool Leaving = false; ///< A graceful shutdown has begun: no new requests of callers.
};

} // namespace rosemaryhinge

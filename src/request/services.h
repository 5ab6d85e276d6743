// The other modules that the request module depends on.

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
  bool Ready = true;    ///< Settings are in force and this proxy has joined the membership.
  bool Leaving = false; ///< A graceful shutdown has begun: new requests of callers are refused.
};

} // namespace rosemaryhinge

// Decides which slots of a database's servers this proxy takes and which it gives back.

#pragma once

#include "groups/grouptable.h"
#include "membership/imembers.h"
#include "slots/candidateindex.h"
#include "slots/internal/slotsstate.h"

namespace rosemaryhinge::detail {

/// Time between two reads of a slot table, given the number of databases.
[[nodiscard]] Duration readInterval(std::size_t databases);
/// Reads the table of a database when it is due, and updates it with the slots that this proxy takes or gives
/// back.
void maintainDatabase(Context &ctx, SlotsState &state, const GroupView &view, const IMembers &members,
                      const CandidateIndex &candidates, Duration interval);

} // namespace rosemaryhinge::detail

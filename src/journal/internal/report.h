// The report: reads the journal's objects from the last one backwards.

#pragma once

#include "journal/internal/journalstate.h"
#include "protocol/event.h"

namespace rosemaryhinge::detail {

void startReport(JournalState &state, Context &ctx, const AdminRequest &request);
/// Returns false if the call is another's.
bool onReportAnswer(JournalState &state, Context &ctx, const PlatformAnswer &event);

} // namespace rosemaryhinge::detail

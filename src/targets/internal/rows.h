// Decodes the rows of the servers' own functions.

#pragma once

#include "protocol/target.h"

#include <optional>
#include <string_view>

namespace rosemaryhinge::detail {

/// None unless the result is exactly one row with all the columns of a status and valid values.
[[nodiscard]] std::optional<TargetStatus> parseStatus(const StatementResult &result);
/// None unless the result is exactly one row with all the columns of a marker record and valid values.
[[nodiscard]] std::optional<MarkerRecord> parseMarkerRecord(const StatementResult &result);
/// A list of {"columns": [...], "rows": [[...]], "affected": n}.
[[nodiscard]] std::optional<std::vector<StatementResult>> parseRecordedResults(std::string_view json);

} // namespace rosemaryhinge::detail

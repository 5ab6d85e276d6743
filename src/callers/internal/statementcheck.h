// Checks a caller's SQL statement before it is joined with others into one query string.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::detail {

/// What is wrong with the statement, with the place; none if it is one statement that cannot end the
/// transaction around it or leave state on the connection.
[[nodiscard]] std::optional<std::string> statementProblem(std::string_view sql);

} // namespace rosemaryhinge::detail

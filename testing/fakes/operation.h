// A caller's operation as the checkers see it: every statement names it, so that effects and answers can be
// traced back to it.

#pragma once

#include "protocol/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::fakes {

/// Statements of the fake servers: "put KEY VALUE #TAG/TRY", "get KEY #TAG/TRY", "sleep MS #TAG/TRY" and
/// "fail #TAG/TRY".
struct Statement {
  enum class Kind : std::uint8_t { Put, Get, Sleep, Fail, Unknown };

  Kind What = Kind::Unknown;
  std::string_view Key;
  std::string_view Value;
  Duration Sleep{};
  std::string_view Tag;
  std::uint32_t Try = 0;
};
[[nodiscard]] Statement parseStatement(std::string_view text);

struct Operation {
  std::string Tag; ///< Unique in a run; also the value that its writes store.
  DatabaseId Database;
  std::size_t Session = 0; ///< Index of the caller's session.
  std::string Key;
  bool Write = false;
  bool Interactive = false;
  bool Fails = false; ///< Holds a statement that the database refuses.
  bool StrengthPrimary = false;
  Duration Sleep{}; ///< Extra work inside the transaction.
  ClassName Class;
  std::optional<Duration> MaxStaleness;
  std::string IdempotencyKey;
  std::size_t Statements = 1;
  Duration Deadline{};
};

/// Column name by which the result of a statement names its operation.
[[nodiscard]] std::string resultColumn(std::string_view tag, std::string_view what);
/// Operation that a result belongs to. Empty if the result names none.
[[nodiscard]] std::string resultTag(const StatementResult &result);

} // namespace rosemaryhinge::fakes

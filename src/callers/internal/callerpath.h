// Paths of the callers' interface.

#pragma once

#include "callers/callercodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemaryhinge::detail {

/// Longest name of a database, a class or a field, and longest transaction id.
inline constexpr std::size_t MaxName = 128;

enum class Operation : std::uint8_t { Query, Transaction, Begin, Statement, Commit, Rollback };

struct Route {
  Operation Op = Operation::Query;
  DatabaseId Database;
  TransactionId Transaction;
};

/// An error before anything ran.
[[nodiscard]] CallerError refuse(int status, std::string message,
                                 RefusalReason reason = RefusalReason::BadRequest);
/// Whether a text is allowed as a name, a transaction id or an idempotency key.
[[nodiscard]] bool validName(std::string_view text);
/// Encodes a part of a path. The separator of transactions is encoded, too.
[[nodiscard]] std::string encodePart(std::string_view text);
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char at);
[[nodiscard]] std::variant<Route, CallerError> parsePath(std::string_view path);

} // namespace rosemaryhinge::detail

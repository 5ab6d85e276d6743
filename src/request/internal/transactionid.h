// Transaction ids have the form node~random~database, so any proxy can find the one that holds
// the transaction.

#pragma once

#include "base/id.h"

#include <cstdint>
#include <optional>

namespace rosemaryhinge::detail {

struct TransactionLocation {
  NodeId Node;
  DatabaseId Database;
};

/// The random part keeps ids of one node distinct across restarts and makes them hard to guess.
[[nodiscard]] TransactionId makeTransactionId(const NodeId &node, std::uint64_t random,
                                              const DatabaseId &database);
/// Returns none if the id is malformed.
[[nodiscard]] std::optional<TransactionLocation> parseTransactionId(const TransactionId &id);

} // namespace rosemaryhinge::detail

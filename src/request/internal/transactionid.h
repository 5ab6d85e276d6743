// Form of transaction ids: node~random~database. Any proxy can tell where a transaction lives.

#pragma once

#include "base/id.h"

#include <cstdint>
#include <optional>

namespace rosemaryhinge::detail {

struct TransactionLocation {
  NodeId Node;
  DatabaseId Database;
};

/// Random keeps ids of one node apart across restarts and makes them hard to guess.
[[nodiscard]] TransactionId makeTransactionId(const NodeId &node, std::uint64_t random,
                                              const DatabaseId &database);
/// None if the id is malformed.
[[nodiscard]] std::optional<TransactionLocation> parseTransactionId(const TransactionId &id);

} // namespace rosemaryhinge::detail

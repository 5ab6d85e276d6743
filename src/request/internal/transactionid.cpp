// Encoding and parsing of transaction ids.

#include "request/internal/transactionid.h"

#include <string>

namespace rosemaryhinge::detail {

namespace {
constexpr char Separator = '~';
}

TransactionId makeTransactionId(const NodeId &node, std::uint64_t random, const DatabaseId &database) {
  return TransactionId(node.str() + Separator + std::to_string(random) + Separator + database.str());
}

std::optional<TransactionLocation> parseTransactionId(const TransactionId &id) {
  const auto &text = id.str();
  const auto first = text.find(Separator);
  const auto second = first == std::string::npos ? first : text.find(Separator, first + 1);
  if (second == std::string::npos || first == 0 || second + 1 == text.size())
    return std::nullopt;
  return TransactionLocation{NodeId(text.substr(0, first)), DatabaseId(text.substr(second + 1))};
}

} // namespace rosemaryhinge::detail

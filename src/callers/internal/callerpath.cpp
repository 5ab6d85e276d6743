// Paths of the callers' interface: the operation, the database and the transaction that a path names.

#include "callers/internal/callerpath.h"

#include "base/percentencode.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace rosemaryhinge {

namespace detail {

namespace {

constexpr char TransactionSeparator = '~';

std::optional<std::string> decodePart(std::string_view text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      out += text[n];
      continue;
    }
    unsigned byte = 0;
    const auto *from = text.data() + n + 1;
    if (n + 2 >= text.size() || std::from_chars(from, from + 2, byte, 16).ptr != from + 2)
      return std::nullopt;
    out += static_cast<char>(byte);
    n += 2;
  }
  return out;
}

} // namespace

std::string encodePart(std::string_view text) { return percentEncode(text, "-_."); }

bool validName(std::string_view text) {
  return !text.empty() && text.size() <= MaxName &&
         std::none_of(text.begin(), text.end(),
                      [](unsigned char it) { return it < ' ' || it == 0x7f || it == '\'' || it == '\\'; });
}

CallerError refuse(int status, std::string message, RefusalReason reason) {
  return {status, Refusal{reason, Ran::NotRun, std::nullopt, std::move(message)}};
}

std::vector<std::string_view> split(std::string_view text, char at) {
  std::vector<std::string_view> out;
  while (true) {
    const auto n = text.find(at);
    out.push_back(text.substr(0, n));
    if (n == std::string_view::npos)
      return out;
    text.remove_prefix(n + 1);
  }
}

std::variant<Route, CallerError> parsePath(std::string_view path) {
  using Entry = std::pair<std::string_view, Operation>;
  constexpr std::array<Entry, 3> DatabaseOps = {Entry{"query", Operation::Query},
                                                Entry{"transaction", Operation::Transaction},
                                                Entry{"begin", Operation::Begin}};
  constexpr std::array<Entry, 3> TransactionOps = {Entry{"query", Operation::Statement},
                                                   Entry{"commit", Operation::Commit},
                                                   Entry{"rollback", Operation::Rollback}};
  const auto parts = split(path, '/');
  const bool shape = parts.size() == 5 && parts[0].empty() && parts[1] == "v1";
  if (!shape || (parts[2] != "db" && parts[2] != "transactions"))
    return refuse(404, "no such path");
  const bool onDatabase = parts[2] == "db";
  const auto &table = onDatabase ? DatabaseOps : TransactionOps;
  const auto *op =
      std::find_if(table.begin(), table.end(), [&](const Entry &it) { return it.first == parts[4]; });
  if (op == table.end())
    return refuse(404, "no such path");
  Route out;
  out.Op = op->second;
  const auto names =
      onDatabase ? std::vector<std::string_view>{parts[3]} : split(parts[3], TransactionSeparator);
  const auto database = decodePart(names[0]);
  if (!database || !validName(*database))
    return refuse(400, "path: the database name is not valid");
  out.Database = DatabaseId(*database);
  if (!onDatabase) {
    const auto id = names.size() == 2 ? decodePart(names[1]) : std::nullopt;
    if (!id || !validName(*id))
      return refuse(404, "path: the transaction id is not valid", RefusalReason::UnknownTransaction);
    out.Transaction = TransactionId(*id);
  }
  return out;
}

} // namespace detail

std::string publicTransactionId(const DatabaseId &database, const TransactionId &id) {
  return detail::encodePart(database.str()) + detail::TransactionSeparator + detail::encodePart(id.str());
}

} // namespace rosemaryhinge

// Rows of the servers' own functions.

#include "targets/internal/rows.h"

#include "base/wholenumber.h"
#include "json/jsonparse.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxHistory = 1'000;

/// Values of a one-row result by column name. Remembers whether one was missing or not valid.
class RowReader {
public:
  explicit RowReader(const StatementResult &result) : Result(result) {
    Ok = result.Rows.size() == 1 && result.Rows[0].size() == result.Columns.size();
  }

  std::optional<std::string_view> find(std::string_view column) {
    const auto it = std::find(Result.Columns.begin(), Result.Columns.end(), column);
    if (!Ok || it == Result.Columns.end()) {
      Ok = false;
      return std::nullopt;
    }
    const auto &cell = Result.Rows[0][static_cast<std::size_t>(it - Result.Columns.begin())];
    return cell ? std::optional<std::string_view>(*cell) : std::nullopt;
  }

  std::string_view text(std::string_view column) {
    const auto out = find(column);
    Ok = Ok && out;
    return out.value_or("");
  }

  std::uint64_t number(std::string_view column) {
    const auto out = parseWholeNumber<std::uint64_t>(text(column));
    Ok = Ok && out;
    return out.value_or(0);
  }

  bool flag(std::string_view column) {
    const auto out = text(column);
    Ok = Ok && (out == "t" || out == "f");
    return out == "t";
  }

  bool Ok = true;

private:
  const StatementResult &Result;
};

std::optional<std::vector<TermStart>> parseHistory(std::string_view text) {
  std::vector<TermStart> out;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const auto entry = text.substr(0, comma);
    const auto colon = entry.find(':');
    if (colon == std::string_view::npos || out.size() >= MaxHistory)
      return std::nullopt;
    const auto term = parseWholeNumber<std::uint64_t>(entry.substr(0, colon));
    const auto start = parseWholeNumber<std::uint64_t>(entry.substr(colon + 1));
    if (!term || !start)
      return std::nullopt;
    out.push_back({*term, *start});
    if (comma == text.size())
      break;
    text.remove_prefix(comma + 1);
    if (text.empty())
      return std::nullopt;
  }
  return out;
}

std::optional<std::string> cellText(const Json &cell) {
  return cell.is_string() ? cell.get<std::string>() : cell.dump();
}

} // namespace

std::optional<TargetStatus> parseStatus(const StatementResult &result) {
  RowReader row(result);
  TargetStatus out;
  const auto role = row.text("role");
  out.Role = role == "primary" ? TargetRole::Primary : TargetRole::Replica;
  out.RaisedTerm = row.number("raised_term");
  out.Log = {row.number("log_term"), row.number("log_lsn")};
  // Bounded, so that the sum with a time point cannot overflow.
  const auto since =
      std::min<std::uint64_t>(row.number("since_primary_ms"), std::chrono::milliseconds(24h * 365).count());
  out.SincePrimary = std::chrono::milliseconds(since);
  out.Leaving = row.flag("leaving");
  auto history = parseHistory(row.find("history").value_or(""));
  if (!row.Ok || !history || (role != "primary" && role != "replica"))
    return std::nullopt;
  out.History = std::move(*history);
  return out;
}

std::optional<std::vector<StatementResult>> parseRecordedResults(std::string_view json) {
  const auto doc = tryParseJson(json);
  if (!doc.is_array())
    return std::nullopt;
  std::vector<StatementResult> out;
  for (const auto &it : doc) {
    const auto columns = it.is_object() ? it.value("columns", Json()) : Json();
    const auto rows = it.is_object() ? it.value("rows", Json()) : Json();
    const auto affected = it.is_object() ? it.value("affected", Json(0U)) : Json();
    if (!columns.is_array() || !rows.is_array() || !affected.is_number_unsigned())
      return std::nullopt;
    StatementResult one;
    one.Affected = affected.get<std::uint64_t>();
    for (const auto &name : columns) {
      if (!name.is_string())
        return std::nullopt;
      one.Columns.push_back(name.get<std::string>());
    }
    for (const auto &cells : rows) {
      if (!cells.is_array() || cells.size() != one.Columns.size())
        return std::nullopt;
      auto &row = one.Rows.emplace_back();
      for (const auto &cell : cells)
        row.push_back(cell.is_null() ? std::nullopt : cellText(cell));
    }
    out.push_back(std::move(one));
  }
  return out;
}

std::optional<MarkerRecord> parseMarkerRecord(const StatementResult &result) {
  RowReader row(result);
  MarkerRecord out;
  out.Done = row.flag("done");
  out.Attempt = row.number("attempt");
  const auto recorded = row.find("result");
  out.At = {row.number("log_term"), row.number("log_lsn")};
  if (!row.Ok)
    return std::nullopt;
  // Whether the write took effect does not depend on its recorded answer being readable.
  if (recorded)
    out.Results = parseRecordedResults(*recorded);
  return out;
}

} // namespace rosemaryhinge::detail

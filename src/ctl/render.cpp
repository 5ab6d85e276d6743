// Tables and the report as text.

#include "ctl/render.h"

#include "settings/valuetext.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>
#include <vector>

namespace rosemaryhinge::ctl {

namespace {

using nlohmann::json;
using Table = std::vector<std::vector<std::string>>;

std::string scalar(const json &value) {
  if (value.is_string())
    return value.get<std::string>();
  if (value.is_null())
    return "-";
  if (!value.is_array())
    return value.dump();
  std::string out;
  for (const auto &it : value)
    out += (out.empty() ? "" : " ") + scalar(it);
  return out.empty() ? "-" : out;
}

std::string renderTable(const Table &rows, const std::string &indent) {
  std::vector<std::size_t> widths;
  for (const auto &row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const auto &row : rows) {
    std::string line = indent;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += row[i] + (i + 1 < row.size() ? std::string(widths[i] - row[i].size() + 2, ' ') : "");
    out += line + "\n";
  }
  return out;
}

bool isTable(const json &value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const auto &it) { return it.is_object(); });
}

Table tableOf(const json &list) {
  std::vector<std::string> columns;
  for (const auto &row : list)
    for (const auto &it : row.items())
      if (std::find(columns.begin(), columns.end(), it.key()) == columns.end())
        columns.push_back(it.key());
  Table out{columns};
  for (const auto &row : list) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const auto &it : columns)
      cells.push_back(row.contains(it) ? scalar(row[it]) : "");
    out.push_back(std::move(cells));
  }
  return out;
}

void renderValue(const json &value, const std::string &indent, std::string &out) {
  if (isTable(value)) {
    out += renderTable(tableOf(value), indent);
    return;
  }
  if (!value.is_object()) {
    out += indent + scalar(value) + "\n";
    return;
  }
  Table fields;
  for (const auto &it : value.items())
    if (!it.value().is_object() && !isTable(it.value()))
      fields.push_back({it.key(), scalar(it.value())});
  out += renderTable(fields, indent);
  for (const auto &it : value.items())
    if (it.value().is_object() || isTable(it.value())) {
      out += indent + it.key() + ":\n";
      renderValue(it.value(), indent + "  ", out);
    }
}

std::string isoTime(std::int64_t micros) {
  auto seconds = static_cast<std::time_t>(micros / 1'000'000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%d %H:%M:%S") << "." << std::setw(3) << std::setfill('0')
      << (micros % 1'000'000) / 1000;
  return out.str();
}

std::string promised(const json &settings) {
  Table rows{{"node", "acknowledge", "read wait", "max staleness", "deadline", "repeatable"}};
  for (const auto &node : settings.value("nodes", json::array())) {
    if (node["kind"] != "class" && node["kind"] != "service")
      continue;
    const auto &values = node["settings"];
    std::vector<std::string> row{scalar(node["path"])};
    for (const auto *key :
         {"acknowledge.strength", "read.wait", "read.max_staleness", "deadline.default", "repeatable"})
      row.push_back(values.contains(key) ? scalar(values[key]["value"]) : "-");
    rows.push_back(std::move(row));
  }
  return renderTable(rows, "  ");
}

std::string happened(const json &records) {
  Table rows{{"time", "node", "kind", "database", "term", "revision", "what", "why"}};
  for (const auto &it : records) {
    if (it.value("kind", "") == "summary")
      continue;
    std::vector<std::string> row{renderTime(it)};
    for (const auto *key : {"node", "kind", "database", "term", "revision", "what", "why"})
      row.push_back(it.contains(key) ? scalar(it[key]) : "-");
    rows.push_back(std::move(row));
  }
  return rows.size() == 1 ? "  nothing\n" : renderTable(rows, "  ");
}

std::string refused(const json &records) {
  std::map<std::vector<std::string>, std::uint64_t> totals;
  for (const auto &record : records)
    for (const auto &it : record.value("counters", json::array()))
      totals[{scalar(it["kind"]), scalar(it["database"]), scalar(it["class"]), scalar(it["reason"])}] +=
          it.value("count", std::uint64_t{0});
  Table rows{{"kind", "database", "class", "reason", "count"}};
  for (const auto &[key, count] : totals) {
    rows.push_back(key);
    rows.back().push_back(std::to_string(count));
  }
  return rows.size() == 1 ? "  none\n" : renderTable(rows, "  ");
}

} // namespace

std::string renderText(const json &value) {
  std::string out;
  renderValue(value, "", out);
  return out;
}

std::string renderTime(const json &record) {
  if (!record.contains("earliest_us") || !record.contains("latest_us"))
    return "boot+" +
           formatDuration(std::chrono::milliseconds(record.value("boot_us", std::int64_t{0}) / 1000));
  auto earliest = record["earliest_us"].get<std::int64_t>();
  auto latest = record["latest_us"].get<std::int64_t>();
  auto unsure = (latest - earliest) / 2000;
  return isoTime(earliest + (latest - earliest) / 2) + " +-" + std::to_string(unsure) + "ms";
}

std::string renderSettings(const json &value) {
  std::string out = "revision " + scalar(value.value("revision", json(0))) + ", in force for " +
                    scalar(value.value("in_force_ms", json(0))) + " ms\n";
  for (const auto &node : value.value("nodes", json::array())) {
    out += "\n" + scalar(node["path"]) + " (" + scalar(node["kind"]) + ")\n";
    if (!node["databases"].empty())
      out += "  databases: " + scalar(node["databases"]) + "\n";
    Table rows;
    for (const auto &it : node["settings"].items())
      rows.push_back({it.key(), scalar(it.value()["value"]), "from " + scalar(it.value()["from"])});
    out += renderTable(rows, "  ");
  }
  return out;
}

std::string renderReport(const json &settings, const json &history, const json &report) {
  std::string out =
      "Promised (settings in force now, revision " + scalar(settings.value("revision", json())) + ")\n";
  out += promised(settings);
  out += "\nChanges of settings (all that the object remembers, " +
         scalar(history.value("dropped", json(0))) + " older ones dropped)\n";
  Table changes{{"revision", "time", "author", "path", "key", "old", "new", "why"}};
  for (const auto &it : history.value("history", json::array())) {
    std::vector<std::string> row;
    for (const auto *key : {"revision", "time", "author", "path", "key", "old_value", "new_value", "why"})
      row.push_back(it.contains(key) ? scalar(it[key]) : "-");
    changes.push_back(std::move(row));
  }
  out += changes.size() == 1 ? "  none\n" : renderTable(changes, "  ");
  auto records = report.value("records", json::array());
  out += "\nHappened, and why (UTC, by term, revision and time)\n" + happened(records);
  out += "\nRefused and retried\n" + refused(records);
  if (report.value("store", "") != "available")
    out +=
        "\nThe store does not answer: only what this proxy holds itself is shown. Repeat the report later.\n";
  if (report.value("truncated", false))
    out += "\nThere is more: use a later --since.\n";
  return out;
}

std::optional<std::int64_t> parseSince(std::string_view text, std::int64_t nowMicros) {
  if (auto age = parseDuration(text))
    return nowMicros - age->count();
  std::tm parts{};
  std::istringstream in{std::string(text)};
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (in.fail())
    return std::nullopt;
  std::string rest;
  in >> rest;
  if (!rest.empty() && rest != "Z")
    return std::nullopt;
  return static_cast<std::int64_t>(timegm(&parts)) * 1'000'000;
}

} // namespace rosemaryhinge::ctl

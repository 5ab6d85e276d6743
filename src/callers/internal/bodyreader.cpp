// Reads the JSON body of a caller's request, with the field of the first fault.

#include "callers/internal/bodyreader.h"

#include "callers/internal/statementcheck.h"
#include "json/jsonparse.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxMessage = 300;

} // namespace

BodyReader::BodyReader(std::string_view body) {
  try {
    Doc = body.empty() ? Json::object() : parseJson(body);
    if (!Doc.is_object())
      fail("body: expected a JSON object");
  } catch (const std::exception &e) {
    const std::string_view what = e.what();
    const auto prefix = what.find("] ");
    fail("body: " +
         std::string(what.substr(prefix == std::string_view::npos ? 0 : prefix + 2).substr(0, MaxMessage)));
  }
}

std::string BodyReader::text(const char *name, std::size_t limit) {
  const auto *it = find(name);
  if (!it)
    return {};
  if (!it->is_string() || it->get_ref<const std::string &>().size() > limit) {
    fail(std::string(name) + ": expected a string of at most " + std::to_string(limit) + " bytes");
    return {};
  }
  return it->get<std::string>();
}

bool BodyReader::flag(const char *name) {
  const auto *it = find(name);
  if (it && !it->is_boolean())
    fail(std::string(name) + ": expected true or false");
  return it && it->is_boolean() && it->get<bool>();
}

std::optional<Duration> BodyReader::millis(const char *name, Duration least, Duration most) {
  const auto *it = find(name);
  if (!it)
    return std::nullopt;
  const auto low = std::chrono::duration_cast<std::chrono::milliseconds>(least).count();
  const auto high = std::chrono::duration_cast<std::chrono::milliseconds>(most).count();
  // A number above the signed range reads as unsigned and must not wrap.
  const bool fits = it->is_number_integer() && (!it->is_number_unsigned() ||
                                                it->get<std::uint64_t>() <= static_cast<std::uint64_t>(high));
  if (!fits || it->get<std::int64_t>() < low || it->get<std::int64_t>() > high) {
    fail(std::string(name) + ": expected a whole number of milliseconds from " + std::to_string(low) +
         " to " + std::to_string(high));
    return std::nullopt;
  }
  return std::chrono::milliseconds(it->get<std::int64_t>());
}

std::vector<std::string> BodyReader::statements(Operation op) {
  std::vector<std::string> out;
  if (op == Operation::Query || op == Operation::Statement) {
    if (const auto *sql = find("sql"))
      add(out, *sql, "sql");
    else
      fail("sql: missing");
  } else if (op == Operation::Transaction) {
    const auto *list = find("statements");
    if (!list || !list->is_array() || list->empty() || list->size() > MaxStatements) {
      fail("statements: expected a list of 1 to " + std::to_string(MaxStatements) + " strings");
      return out;
    }
    for (std::size_t n = 0; n < list->size() && !Problem; ++n)
      add(out, (*list)[n], "statements[" + std::to_string(n) + "]");
  }
  return out;
}

void BodyReader::fail(std::string what) {
  if (!Problem)
    Problem = std::move(what);
}

std::optional<std::string> BodyReader::finish() {
  for (auto it = Doc.begin(); Doc.is_object() && it != Doc.end() && !Problem; ++it)
    if (std::find(Known.begin(), Known.end(), it.key()) == Known.end())
      fail("unknown field '" + it.key().substr(0, MaxName) + "'");
  return Problem;
}

const Json *BodyReader::find(const char *name) {
  Known.emplace_back(name);
  if (!Doc.is_object())
    return nullptr;
  const auto it = Doc.find(name);
  return it == Doc.end() || it->is_null() ? nullptr : &*it;
}

void BodyReader::add(std::vector<std::string> &out, const Json &value, const std::string &place) {
  if (!value.is_string()) {
    fail(place + ": expected a string");
    return;
  }
  auto sql = value.get<std::string>();
  if (const auto problem = statementProblem(sql))
    fail(place + ": " + *problem);
  out.push_back(std::move(sql));
}

} // namespace rosemaryhinge::detail

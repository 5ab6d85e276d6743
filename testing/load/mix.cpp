// Mixes of work of the two deployments.

#include "load/mix.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rosemaryhinge::load {

namespace {

constexpr std::uint64_t Grades = 16;

const std::vector<std::string> &commonTables() {
  static const std::vector<std::string> Tables = {
      "CREATE TABLE IF NOT EXISTS load_run (run TEXT NOT NULL, session INTEGER NOT NULL, key TEXT NOT NULL)",
      "CREATE INDEX IF NOT EXISTS load_run_session ON load_run (run, session)",
      "CREATE INDEX IF NOT EXISTS load_run_key ON load_run (run, key)"};
  return Tables;
}

/// A read of what the session itself wrote. The verification reads its only value.
WorkClass ownRead(const std::string &name, double weight) { return {name, Kind::OwnRead, weight, 0, 0, {}}; }

Mix paalisoft() {
  Mix out;
  out.Name = "paalisoft";
  out.Databases = {"merchant-db-1", "merchant-db-2", "merchant-db-3"};
  out.Tables = {"CREATE TABLE IF NOT EXISTS weighing (id INTEGER PRIMARY KEY, grade INTEGER, kg INTEGER)",
                "CREATE TABLE IF NOT EXISTS stock (grade INTEGER PRIMARY KEY, bales INTEGER NOT NULL)",
                "CREATE TABLE IF NOT EXISTS settlement (id INTEGER PRIMARY KEY, kg INTEGER)"};
  out.Classes = {
      {"weighing", Kind::Write, 0.25, 0, 0, {"INSERT INTO weighing (grade, kg) VALUES ($G, 400 + $N % 300)"}},
      {"bale-booking",
       Kind::Write,
       0.10,
       0,
       0,
       {"INSERT INTO stock VALUES ($G, 1) ON CONFLICT (grade) DO UPDATE SET bales = bales + 1"}},
      {"stock-view", Kind::AgedRead, 0.50, 2000, 0, {"SELECT grade, bales FROM stock ORDER BY grade"}},
      ownRead("own-bookings", 0.145),
      {"settlement",
       Kind::Write,
       0.005,
       0,
       150,
       {"INSERT INTO settlement (kg) SELECT COALESCE(SUM(kg), 0) FROM weighing WHERE grade = $G"}}};
  return out;
}

Mix openraad() {
  Mix out;
  out.Name = "openraad";
  out.Databases = {"portaal-kern-1", "portaal-kern-2", "portaal-kern-3"};
  out.Tables = {"CREATE TABLE IF NOT EXISTS amendment (id INTEGER PRIMARY KEY, motion INTEGER, text TEXT)",
                "CREATE TABLE IF NOT EXISTS approval (motion INTEGER PRIMARY KEY, votes INTEGER NOT NULL)"};
  out.Classes = {
      {"public-query",
       Kind::AgedRead,
       0.80,
       5000,
       0,
       {"SELECT motion, COUNT(*) FROM amendment WHERE motion = $G GROUP BY motion"}},
      {"amendment",
       Kind::Write,
       0.05,
       0,
       0,
       {"INSERT INTO amendment (motion, text) VALUES ($G, 'amendment $N')"}},
      {"approval",
       Kind::Write,
       0.04,
       0,
       0,
       {"INSERT INTO approval VALUES ($G, 1) ON CONFLICT (motion) DO UPDATE SET votes = votes + 1"}},
      ownRead("own-dossier", 0.09),
      {"extract", Kind::AgedRead, 0.02, 5000, 300, {"SELECT id, motion, text FROM amendment LIMIT 500"}}};
  return out;
}

std::string replaced(std::string text, const std::string &from, const std::string &to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

} // namespace

Mix namedMix(const std::string &name) {
  if (name != "paalisoft" && name != "openraad")
    throw std::runtime_error("unknown mix: " + name);
  auto out = name == "paalisoft" ? paalisoft() : openraad();
  out.Tables.insert(out.Tables.end(), commonTables().begin(), commonTables().end());
  return out;
}

const WorkClass &Mix::draw(std::mt19937_64 &random) const {
  auto at = std::uniform_real_distribution<>(0, 1)(random);
  for (const auto &it : Classes) {
    if (at < it.Weight)
      return it;
    at -= it.Weight;
  }
  return Classes.front();
}

std::vector<std::string> statementsOf(const Operation &operation, const std::string &run) {
  std::vector<std::string> out;
  if (operation.Class->Type == Kind::OwnRead)
    return {"SELECT COUNT(*) FROM load_run WHERE run = '" + run +
            "' AND session = " + std::to_string(operation.Session)};
  if (operation.Class->LongMs > 0)
    out.push_back("SELECT pg_sleep(" + std::to_string(operation.Class->LongMs / 1000.0) + ")");
  for (const auto &it : operation.Class->Statements)
    out.push_back(replaced(replaced(it, "$N", std::to_string(operation.Number)), "$G",
                           std::to_string(operation.Number % Grades)));
  if (operation.Class->Type == Kind::Write)
    out.push_back("INSERT INTO load_run VALUES ('" + run + "', " + std::to_string(operation.Session) + ", '" +
                  operation.Key + "')");
  return out;
}

std::string bodyOf(const Operation &operation, const std::string &run, const std::string &token,
                   std::uint32_t deadlineMs) {
  nlohmann::json out = {{"class", operation.Class->Name},
                        {"statements", statementsOf(operation, run)},
                        {"deadline_ms", deadlineMs}};
  if (operation.Class->Type == Kind::Write)
    out["idempotency_key"] = run + "-" + operation.Key;
  else
    out["read_only"] = true;
  if (operation.Class->Type == Kind::AgedRead)
    out["max_staleness_ms"] = operation.Class->AgeMs;
  else if (!token.empty())
    out["session"] = token;
  return out.dump();
}

} // namespace rosemaryhinge::load

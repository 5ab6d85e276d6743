// The journal: order, owners, store outages and lost answers.

#include "journal/internal/collector.h"
#include "journal/internal/writer.h"
#include "journal/record.h"
#include "spread/fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace rosemaryhinge;
using nlohmann::json;
using spread::Fleet;

namespace {

JournalRecord record(const std::string &node, std::uint64_t sequence, Term term, std::uint64_t revision,
                     std::int64_t earliest, std::int64_t latest) {
  return {{NodeId(node), 1, sequence},
          {"k", DatabaseId(term > 0 ? "db" : ""), "w", "", term, revision},
          earliest,
          earliest,
          latest,
          {}};
}

std::string order(std::vector<JournalRecord> records) {
  orderRecords(records);
  std::string out;
  for (const auto &it : records)
    out += it.Id.Node.str() + std::to_string(it.Id.Sequence) + " ";
  return out;
}

/// Settings changes are what a fleet without databases records.
struct RecordingFleet : Fleet {
  explicit RecordingFleet(std::size_t nodes) : Fleet(options(nodes)) {
    startAll();
    runFor(10s);
  }
  static spread::FleetOptions options(std::size_t nodes) {
    spread::FleetOptions out;
    out.Nodes = nodes;
    out.Tree = "settings: {}\n";
    return out;
  }
  /// Makes a change and runs on; records leave their proxy after 500 ms.
  void change(std::size_t node, std::uint64_t revision, Duration length = 2s) {
    admin(node, "settings.set",
          json{{"revision", revision},
               {"change_id", "c" + std::to_string(revision)},
               {"author", "aino"},
               {"path", "/"},
               {"key", "read.wait"},
               {"value", std::to_string(revision) + "ms"}}
              .dump());
    runFor(length);
  }
  json report(std::size_t node) {
    auto id = admin(node, "report", "{}");
    REQUIRE(runUntil([&] { return Replies.contains(id); }, 30s));
    return json::parse(Replies[id].Body);
  }
  std::size_t written() {
    std::size_t out = 0;
    std::istringstream in(Store.object("journal/1").Value);
    for (std::string line; std::getline(in, line);)
      out += line.find("settings_change") != std::string::npos ? 1 : 0;
    return out;
  }
};

std::size_t changes(const json &report) {
  std::size_t out = 0;
  for (const auto &it : report["records"])
    out += it["kind"] == "settings_change" ? 1 : 0;
  return out;
}

} // namespace

TEST_CASE("terms and revisions are in order whatever the clocks say; copies are removed") {
  // The clock of b is 1 s behind, and its interval says so.
  CHECK(order({record("a", 1, 5, 0, 1000, 1000), record("b", 1, 6, 0, -500'000, 500'000),
               record("a", 1, 5, 0, 1000, 1000)}) == "a1 b1 ");
  CHECK(order({record("a", 1, 0, 3, 900, 900), record("b", 1, 0, 2, 1000, 1000)}) == "b1 a1 ");
  CHECK(order({record("a", 1, 0, 0, 900, 900), record("b", 1, 0, 0, 800, 800)}) == "b1 a1 ");
}

TEST_CASE("a record keeps its fields and its size is bounded") {
  auto it = record("a", 7, 5, 0, 10, 20);
  it.Entry.Why = std::string(5000, 'x');
  it.Counters.push_back({"refusal", DatabaseId("db"), "weighing", "overloaded", 12});
  auto text = formatRecord(it);
  CHECK(text.size() < 1500);
  auto back = parseRecord(text);
  REQUIRE(back.has_value());
  CHECK(back->Id == it.Id);
  CHECK(back->Entry.Term == 5);
  CHECK(back->LatestMicros == 20);
  CHECK(back->Counters.at(0).Count == 12);
  CHECK_FALSE(parseRecord("{}").has_value());
}

TEST_CASE("refusals and retries of a minute become one record") {
  detail::JournalState state;
  NodeConfig self;
  self.Node = NodeId("a");
  Rules rules;
  std::mt19937_64 random;
  Effects effects;
  std::vector<JournalEntry> entries;
  std::uint64_t number = 0;
  Context ctx{TimePoint(1h), self, 1, rules, random, effects, entries, number, {}};
  for (int i = 0; i < 5000; ++i)
    detail::keep(state, ctx,
                 {"refusal", DatabaseId("db"), "class" + std::to_string(i % 2000), "overloaded", 0, 0});
  CHECK(state.Outgoing.empty());
  CHECK(state.Counters.size() <= 1025);
  state.NextSummary = ctx.Now;
  detail::summarise(state, ctx);
  REQUIRE(state.Outgoing.size() == 1);
  std::uint64_t total = 0;
  auto summary = parseRecord(state.Outgoing.front().Text);
  REQUIRE(summary.has_value());
  for (const auto &it : summary->Counters)
    total += it.Count;
  CHECK(total == 5000);
}

TEST_CASE("records reach the store once, and the report shows who changed what from any proxy") {
  RecordingFleet fleet(6);
  for (std::uint64_t i = 1; i <= 5; ++i)
    fleet.change(i % 6, i);
  fleet.runFor(10s);
  CHECK(fleet.written() == 5);
  auto report = fleet.report(3);
  REQUIRE(changes(report) == 5);
  CHECK(report["records"][0]["why"] == "set by aino");
  CHECK(report["records"][0]["revision"] == 2);
  // The second owner was told and writes nothing again.
  fleet.runFor(60s);
  CHECK(fleet.written() == 5);
}

TEST_CASE("records made before a store outage ends are written afterwards") {
  RecordingFleet fleet(6);
  fleet.change(0, 1, 100ms);
  fleet.StoreUp = false;
  fleet.runFor(60s);
  CHECK(fleet.written() == 0);
  fleet.StoreUp = true;
  fleet.runFor(30s);
  CHECK(fleet.written() == 1);
}

TEST_CASE("the second owner writes what the first one held when it died") {
  RecordingFleet fleet(6);
  auto owners = detail::owners(fleet.membership(0));
  REQUIRE(owners.size() == 2);
  std::size_t first = 0;
  while (fleet.name(first) != owners[0].str())
    ++first;
  std::size_t writer = first == 0 ? 1 : 0;
  fleet.change(writer, 1, 100ms);
  fleet.StoreUp = false;
  fleet.runFor(5s);
  fleet.crash(first);
  fleet.StoreUp = true;
  CHECK(fleet.written() == 0);
  fleet.runFor(60s);
  CHECK(fleet.written() == 1);
  CHECK(changes(fleet.report(writer)) == 1);
}

TEST_CASE("a lost answer leads to no second copy of a record") {
  RecordingFleet fleet(3);
  fleet.change(0, 1, 100ms);
  fleet.LoseAnswers = 1;
  fleet.runFor(30s);
  CHECK(fleet.written() == 1);
  CHECK(changes(fleet.report(1)) == 1);
}

TEST_CASE("a report in a store outage says so and shows what the proxy itself holds") {
  RecordingFleet fleet(1);
  fleet.change(0, 1, 100ms);
  fleet.StoreUp = false;
  auto report = fleet.report(0);
  CHECK(report["store"] == "unavailable");
  CHECK(changes(report) == 1);
}

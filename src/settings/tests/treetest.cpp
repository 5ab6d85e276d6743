// The settings tree: inheritance, findings, object and schema page.

#include "settings/edit.h"
#include "settings/effective.h"
#include "settings/internal/delta.h"
#include "settings/internal/policytable.h"
#include "settings/object.h"
#include "settings/tests/trees.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace rosemaryhinge;

namespace {

std::vector<std::string> findings(std::string_view text) {
  std::vector<std::string> out;
  for (const auto &it : parseTree("t", text).Found)
    out.push_back(it.str());
  return out;
}

bool holds(const std::vector<std::string> &list, std::string_view part) {
  return std::any_of(list.begin(), list.end(),
                     [&](const auto &it) { return it.find(part) != std::string::npos; });
}

std::string readFile(const std::string &path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string sourceRoot() { return RH_SOURCE_DIR "/"; }

} // namespace

TEST_CASE("a class inherits what it does not override, from its service, group and the root") {
  auto parsed = parseTree("t", testing::SmallTree);
  REQUIRE(parsed.Found.empty());
  detail::PolicyTable table(parsed.Root);
  DatabaseId database("merchant-db-2");
  CHECK(table.databases().size() == 2);
  CHECK(table.classPolicy(database, ClassName("weighing")).Repeatable);
  CHECK(table.classPolicy(database, ClassName("weighing")).DefaultDeadline == 4s);
  CHECK(table.classPolicy(database, ClassName("settlement")).DefaultDeadline == 1min);
  CHECK(table.classPolicy(database, ClassName("settlement")).Lane == Lane::Long);
  CHECK(table.classPolicy(database, ClassName("unknown")).DefaultDeadline == 4s);
  CHECK(table.classPolicy(DatabaseId("other"), ClassName("x")).DefaultDeadline == 5s);
}

TEST_CASE("all faults are reported together, each with its line") {
  auto found = findings("settings:\n"
                        "  read.wiat: 30ms\n"
                        "  read.wait: 30\n"
                        "  lane.long_share: 2\n"
                        "  queue.limit: 5\n"
                        "  queue.limit: 6\n"
                        "services: {}\n"
                        "groups:\n"
                        "  g:\n"
                        "    services:\n"
                        "      s:\n"
                        "        databases: [d, d]\n"
                        "        classes:\n"
                        "          c:\n"
                        "            settings: {slots.connections: 3}\n");
  CHECK(holds(found, "t:2:3: unknown key 'read.wiat'; the nearest known key is 'read.wait'"));
  CHECK(holds(found, "t:3:14: value '30' of read.wait must be a duration with a unit"));
  CHECK(holds(found, "t:4:20: value 2 of lane.long_share is out of range: 0.01 to 1"));
  CHECK(holds(found, "t:6:3: duplicate key 'queue.limit'"));
  CHECK(holds(found, "t:7:1: wrong nesting: a root cannot hold 'services'"));
  CHECK(holds(found, "t:12:24: duplicate database 'd'"));
  CHECK(holds(found, "t:15:24: wrong nesting: a class cannot carry 'slots.connections'"));
  CHECK(found.size() == 7);
}

TEST_CASE("a cycle, an alias and broken YAML are findings, not crashes") {
  CHECK(holds(findings("groups: &a\n  g: *a\n"), "cycle"));
  CHECK(holds(findings("settings: &a\n  read.wait: 1ms\ngroups:\n  g:\n    settings: *a\n"),
              "aliases are not"));
  CHECK(holds(findings("groups: [\n"), "not valid YAML"));
  CHECK(holds(findings("settings: 3\n"), "wrong nesting"));
}

TEST_CASE("limits that contradict each other across nodes are refused at the node that breaks them") {
  auto found = findings("settings:\n"
                        "  deadline.default: 100ms\n"
                        "  failover.takeover_after: 1s\n"
                        "groups:\n"
                        "  g:\n"
                        "    settings:\n"
                        "      read.wait: 200ms\n"
                        "      failover.suspect_after: 2s\n"
                        "      acknowledge.window: 3s\n");
  CHECK(holds(found, "t:7:7: limits contradict each other at /g: read.wait 200ms (from /g) is above "
                     "deadline.default 100ms (from /)"));
  CHECK(holds(found, "failover.suspect_after 2s (from /g) is above failover.takeover_after 1s (from /)"));
  CHECK(holds(found, "acknowledge.window 3s (from /g) is above failover.suspect_after 2s (from /g)"));
  CHECK(found.size() == 3);
}

TEST_CASE("a tree survives writing and reading, and a delta rebuilds it exactly") {
  auto before = parseTree("t", testing::SmallTree).Root;
  auto after = before;
  CHECK(applyEdit(after, {"/tuotanto/merchant-db/weighing", "deadline.default", "2s"}).empty());
  CHECK(applyEdit(after, {"/tuotanto/nowhere", "deadline.default", "2s"}).find("no node") == 0);
  auto oldText = formatTree(before);
  auto newText = formatTree(after);
  CHECK(parseTree("t", newText).Found.empty());
  CHECK(diffTrees(parseTree("t", newText).Root, after).empty());
  CHECK(diffTrees(before, after) ==
        std::vector<SettingsDifference>{{"/tuotanto/merchant-db/weighing", "deadline.default", "", "2s"}});
  auto push = detail::wholePush(8, newText, 3);
  detail::makeDelta(push, 7, oldText);
  CHECK(push.Tree.size() < 60);
  CHECK(detail::wholeText(push, 7, oldText) == newText);
  // A base of another text must not be patched into a tree that nobody accepted.
  CHECK_FALSE(detail::wholeText(push, 6, oldText).has_value());
  CHECK_FALSE(detail::wholeText(push, 7, std::string(oldText.size(), 'x')).has_value());
}

TEST_CASE("the object stays below 1 MB by dropping the oldest history, and counts what it dropped") {
  SettingsObject object;
  object.Revision = 900;
  object.Tree = std::string(400'000, '#');
  for (std::uint64_t i = 1; i <= 900; ++i)
    object.History.push_back(
        {i, "c" + std::to_string(i), "aino", "", std::string(1000, 'w'), {"/", "k", "a", "b"}});
  auto text = formatSettingsObject(object, 1000);
  REQUIRE(text.has_value());
  CHECK(text->size() < MaxSettingsObject);
  CHECK(object.HistoryDropped + object.History.size() == 900);
  CHECK(object.HistoryDropped > 0);
  CHECK(object.History.back().Revision == 900);
  object.Tree = std::string(1'000'000, '#');
  CHECK_FALSE(formatSettingsObject(object, 1000).has_value());
}

TEST_CASE("a plain tree is revision 1, and the object is read from JSON and from YAML") {
  auto plain = parseSettingsObject(testing::SmallTree);
  REQUIRE(plain.has_value());
  CHECK(plain->Plain);
  CHECK(plain->Revision == 1);
  plain->Revision = 5;
  plain->ChangeId = "c5";
  auto json = formatSettingsObject(*plain, 10);
  CHECK(parseSettingsObject(*json)->Tree == testing::SmallTree);
  auto yaml = parseSettingsObject("revision: 7\nchange_id: c7\ntree: |\n  settings:\n    read.wait: 1ms\n");
  REQUIRE(yaml.has_value());
  CHECK(yaml->Revision == 7);
  CHECK(yaml->revisionOf("c7") == 7);
  CHECK(parseTree("t", yaml->Tree).Found.empty());
  CHECK_FALSE(parseSettingsObject("just text").has_value());
}

TEST_CASE("an older proxy keeps the keys of a newer release when it edits the tree") {
  auto parsed = parseTree("t", "settings:\n  future.key: 3\n  read.wait: 1ms\n", UnknownKeys::Skip);
  CHECK(parsed.Found.empty());
  CHECK(formatTree(parsed.Root).find("future.key: 3") != std::string::npos);
}

TEST_CASE("docs/settings.md and the schema name the same keys, units, ranges, defaults and nodes") {
  auto page = readFile(sourceRoot() + "docs/settings.md");
  std::set<std::string> documented;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with("| `"))
      documented.insert(line);
  std::set<std::string> expected;
  for (const auto &it : schema())
    expected.insert(schemaRow(it));
  for (const auto &it : expected)
    CHECK_MESSAGE(documented.contains(it), "not in docs/settings.md: ", it);
  for (const auto &it : documented)
    CHECK_MESSAGE(expected.contains(it), "not in the schema: ", it);
}

TEST_CASE("the trees of both deployments are valid") {
  for (const auto *name : {"paalisoft", "openraad"}) {
    auto text = readFile(sourceRoot() + "scripts/settings/" + name + ".yaml");
    auto parsed = parseTree(name, text);
    for (const auto &it : parsed.Found)
      FAIL_CHECK(it.str());
    CHECK(detail::PolicyTable(parsed.Root).databases().size() == 3);
  }
}

TEST_CASE("every field of the policies has exactly one key") {
  // A field without a key could not be set; a structured binding fails to compile when a field is added.
  [[maybe_unused]] auto [acknowledge, repeatable, lane, readWait, deadline, staleness] = ClassPolicy{};
  [[maybe_unused]] auto [window, status, suspect, takeover, change, longAfter, longShare, queue, budget, slot,
                         warm] = DatabasePolicy{};
  constexpr std::size_t ClassFields = 6;
  constexpr std::size_t DatabaseFields = 11;
  constexpr std::size_t TreeFields = 1;
  CHECK(schema().size() == ClassFields + DatabaseFields + TreeFields);
  std::set<std::string_view> keys;
  for (const auto &a : schema()) {
    keys.insert(a.Key);
    for (const auto &b : schema())
      CHECK((&a == &b || a.Field != b.Field));
    EffectiveSettings values;
    CHECK(setValue(a, formatValue(a, values), values).empty());
  }
  CHECK(keys.size() == schema().size());
}

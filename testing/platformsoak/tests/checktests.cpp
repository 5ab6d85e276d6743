// Guards the other checks of the soak, its reading of log files and its plans: each finds the fault that it
// is for.

#include "platformsoak/faultplan.h"
#include "platformsoak/processlog.h"
#include "platformsoak/report.h"
#include "platformsoak/rulechecks.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace rosemaryhinge::platformsoak;

namespace {

Request answeredRead(const std::string &id) {
  Request out;
  out.Id = id;
  out.Text = "READ k1";
  out.Signature = "3.s1";
  out.Rows = "v1";
  out.NeedsPosition = 12;
  return out;
}

ServerRun run(std::uint64_t position) {
  ServerRun out;
  out.Signature = "3.s1";
  out.Rows = "v1";
  out.Position = position;
  return out;
}

std::vector<std::string> rules(const std::vector<Violation> &found) {
  std::vector<std::string> out;
  out.reserve(found.size());
  for (const auto &it : found)
    out.push_back(it.Rule);
  return out;
}

/// A version with database x1 in force until 10 s, removed by one that was acknowledged at 10,010 ms.
std::vector<ConfigVersion> versions() { return {{1, {"x1"}, 0, 10}, {2, {}, 10'000, 10'010}}; }

Lives oneProxy() {
  ProcessLife life;
  life.StartedAt = 0;
  return {{life}};
}

} // namespace

TEST_CASE("a statement that took effect twice is found") {
  CHECK(checkTwice({{"a", {5}}, {"b", {6}}}).empty());
  CHECK(rules(checkTwice({{"a", {5}}, {"b", {6, 9}}})) == std::vector<std::string>{"TWICE"});
}

TEST_CASE("a read of a log that lacks what it needs is found, by the run that its answer is of") {
  const std::vector<Request> asked = {answeredRead("a")};
  CHECK(checkAnswers(asked, {{"a", {run(12)}}}).empty());
  CHECK(rules(checkAnswers(asked, {{"a", {run(11)}}})) == std::vector<std::string>{"STALE"});
  auto other = run(20);
  other.Signature = "3.s2";
  CHECK(rules(checkAnswers(asked, {{"a", {run(11), other}}})) == std::vector<std::string>{"STALE"});
}

TEST_CASE("a success without a run of its signature, or with other rows, is found") {
  const std::vector<Request> asked = {answeredRead("a")};
  CHECK(rules(checkAnswers(asked, {})) == std::vector<std::string>{"MIXED"});
  auto other = run(12);
  other.Rows = "v2";
  CHECK(rules(checkAnswers(asked, {{"a", {other}}})) == std::vector<std::string>{"MIXED"});
}

TEST_CASE("a removed database may be found until 3 s after the acknowledgement") {
  const auto found = [](Millis sent, const std::vector<Disruption> &disruptions = {},
                        const Lives &lives = oneProxy()) {
    const std::vector<ConfigProbe> probes = {{"x1", 0, sent, sent + 2, true}};
    return checkConfig(versions(), probes, lives, disruptions).size();
  };
  CHECK(found(13'010) == 0);
  CHECK(found(13'011) == 1);
  CHECK(found(13'011, {{9'000, 12'000, "store down"}}) == 0);
  CHECK(found(13'011, {{9'000, 12'000, "server cut off", std::nullopt, true}}) == 1);
  CHECK(found(30'200, {{9'000, 12'000, "store down"}}) == 1);
  // A machine that was started or stopped just before is not in touch.
  auto lives = oneProxy();
  lives[0][0].StartedAt = 9'000;
  CHECK(found(13'011, {}, lives) == 0);
  lives = oneProxy();
  lives[0][0].Terms = {13'000};
  CHECK(found(13'011, {}, lives) == 0);
  // Nor is one that was suspended.
  lives = oneProxy();
  lives[0][0].Suspensions = {{7'000, 8'011}};
  CHECK(found(13'011, {}, lives) == 0);
  lives[0][0].Suspensions = {{7'000, 8'010}};
  CHECK(found(13'011, {}, lives) == 1);
}

TEST_CASE("a database that is there may not be missing") {
  const std::vector<ConfigProbe> probes = {{"x1", 0, 8'000, 8'002, false}};
  CHECK(checkConfig(versions(), probes, oneProxy(), {}).size() == 1);
}

TEST_CASE("an orderly end, named requests and lines left out are read from a log") {
  const std::vector<std::string> ended = {"level=warn message=\"statement cut\" request=00ab",
                                          "level=warn message=\"log lines left out\" node=n count=17",
                                          "level=info message=ended node=n"};
  CHECK(endsWithEnded(ended));
  CHECK(names(ended, "00ab"));
  CHECK_FALSE(names(ended, "00ac"));
  CHECK(leftOut(ended) == 17);
  const std::vector<std::string> cut(ended.begin(), ended.end() - 1);
  CHECK_FALSE(endsWithEnded(cut));
  CHECK_FALSE(endsWithEnded({}));
}

TEST_CASE("a seed gives one plan, and a further trouble changes none of the others") {
  const auto texts = [](std::uint64_t seed, const Troubles &with) {
    std::vector<std::string> out;
    for (const auto &it : makePlan({seed, 60'000, 6, 3, with}))
      if (!std::holds_alternative<ReloadProxy>(it.Fault))
        out.push_back(std::to_string(it.At) + describe(it.Fault).substr(0, 14));
    return out;
  };
  CHECK(texts(1, {"rolls", "drain"}) == texts(1, {"rolls", "drain"}));
  CHECK(texts(1, {"rolls"}) != texts(2, {"rolls"}));
  CHECK(texts(1, {"rolls"}) == texts(1, {"rolls", "second", "hups"}));
  for (const auto &it : {"replace", "crash", "lost", "cut", "partition", "late", "kill", "suspend", "crashes",
                         "latestore", "entries"}) {
    CHECK(texts(1, {it}) == texts(1, {it}));
    CHECK(texts(1, {it}) != texts(2, {it}));
  }
}

TEST_CASE(
    "servers that crash together are back in time, beside a killed proxy only where proxies are killed") {
  const auto planned = [](const Troubles &with) {
    std::vector<std::string> out;
    std::size_t kills = 0;
    for (const auto &it : makePlan({1, 60'000, 6, 3, with})) {
      if (std::holds_alternative<KillProxy>(it.Fault))
        ++kills;
      const auto *crash = std::get_if<CrashServers>(&it.Fault);
      if (!crash)
        continue;
      out.push_back(std::to_string(it.At) + describe(it.Fault));
      CHECK(crash->PrimaryAfterMs < crash->ReplicaDownMs);
      CHECK(std::max({crash->ReplicaDownMs, crash->PrimaryDownMs, crash->OtherDownMs}) <= 7'000);
    }
    return std::pair(out, kills);
  };
  const auto alone = planned({"crashes"}), beside = planned({"crashes", "kill"});
  CHECK(alone.first == beside.first);
  CHECK(alone.second == 0);
  CHECK(beside.second == planned({"kill"}).second + alone.first.size());
}

TEST_CASE("the run's own kill is no bad end, another end is one") {
  const auto badEnds = [](const std::string &how) {
    ProcessLife life;
    life.CrashedAt = 5'000;
    life.EndedAt = 5'004;
    life.How = how;
    std::ostringstream out;
    RunFigures figures;
    Report(out, {{life}}).stops(figures);
    return figures.BadEnds;
  };
  CHECK(badEnds("by signal 9") == 0);
  CHECK(badEnds("by signal 11") == 1);
}

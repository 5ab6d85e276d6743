// Command line and text output of the operators' tool.

#include "ctl/commands.h"
#include "ctl/options.h"
#include "ctl/render.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge::ctl;
using nlohmann::json;

namespace {

ParsedOptions parse(std::vector<const char *> words) {
  words.insert(words.begin(), "rosemaryhingectl");
  words.push_back(nullptr);
  return parseOptions(static_cast<int>(words.size()) - 1, words.data());
}

} // namespace

TEST_CASE("every command has a help text with an example") {
  for (const auto *name : {"status", "targets", "sessions", "report", "check"})
    CHECK(parse({name, "--help"}).Text.find("Example:") != std::string::npos);
  for (const auto *name : {"get", "set", "unset", "diff", "history", "verify"}) {
    auto out = parse({"settings", name, "--help"});
    CHECK(out.Help);
    CHECK(out.Text.find("Example:\n  rosemaryhingectl settings " + std::string(name)) != std::string::npos);
  }
  CHECK(parse({"--help"}).Text.find("Example:") != std::string::npos);
}

TEST_CASE("a wrong command line says what to do and runs nothing") {
  CHECK(parse({"statsu"}).Text.find("--help") != std::string::npos);
  CHECK_FALSE(parse({"settings", "set", "/", "read.wait", "--author", "a"}).Value.has_value());
  CHECK_FALSE(parse({"report"}).Value.has_value());
  CHECK_FALSE(parse({"status", "--output", "xml"}).Value.has_value());
  CHECK_FALSE(parse({"status", "--nonsense"}).Value.has_value());
}

TEST_CASE("options and arguments reach the command") {
  auto out = parse({"settings", "set", "/a", "read.wait", "3ms", "--author", "aino", "--wait", "--admin",
                    "h:1,h:2", "--revision", "7", "-o", "json"});
  REQUIRE(out.Value.has_value());
  CHECK(out.Value->Arguments == std::vector<std::string>{"/a", "read.wait", "3ms"});
  CHECK(out.Value->Admins == std::vector<std::string>{"h:1", "h:2"});
  CHECK(out.Value->Revision == 7);
  CHECK(out.Value->Wait);
  CHECK(out.Value->Json);
}

TEST_CASE("no proxy at the address is an error of its own, without a hang") {
  // Port 1 on loopback refuses connections.
  auto out = parse({"status", "--admin", "127.0.0.1:1"});
  REQUIRE(out.Value.has_value());
  CHECK(run(*out.Value) == ExitCode::Unreachable);
}

TEST_CASE("since is a duration before now or a UTC time") {
  CHECK(parseSince("2s", 5'000'000) == 3'000'000);
  CHECK(parseSince("1970-01-01T00:00:10Z", 0) == 10'000'000);
  CHECK_FALSE(parseSince("yesterday", 0).has_value());
  CHECK_FALSE(parseSince("1970-01-01T00:00:10+02:00", 0).has_value());
}

TEST_CASE("the report sums counters and shows times with their uncertainty") {
  json records = {
      {{"kind", "summary"},
       {"counters",
        {{{"kind", "refusal"}, {"database", "db"}, {"class", "c"}, {"reason", "overloaded"}, {"count", 2}}}}},
      {{"kind", "summary"},
       {"counters",
        {{{"kind", "refusal"}, {"database", "db"}, {"class", "c"}, {"reason", "overloaded"}, {"count", 3}}}}},
      {{"kind", "promotion"},
       {"database", "db"},
       {"term", 4},
       {"what", "t2 promoted"},
       {"why", "primary silent"},
       {"node", "n"},
       {"earliest_us", 0},
       {"latest_us", 10'000}}};
  auto text = renderReport(json::object(), json::object(), {{"records", records}, {"store", "available"}});
  CHECK(text.find("overloaded  5") != std::string::npos);
  CHECK(text.find("1970-01-01 00:00:00.005 +-5ms") != std::string::npos);
  CHECK(text.find("primary silent") != std::string::npos);
}

// Tests of the local settings file.

#include "daemon/localsettings.h"

#include "net/tests/corrupt.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const std::string Good = R"(node: entry-1
region: etela
availability_zone: etela-a
addresses:
  callers: 127.0.0.1:8080
  peers: 0.0.0.0:8081
  admin: "[::1]:8082"
  advertised: 10.0.0.1:8081
platform: http://127.0.0.1:7000/
seeds:
  - {node: entry-1, address: "10.0.0.1:8081"}
  - {node: entry-2, address: "10.0.0.2:8081"}
log:
  format: json
  level: warn
)";

std::vector<std::string> findings(const std::string &yaml) {
  std::vector<std::string> out;
  const auto parsed = parseLocalSettings(yaml, "f.yaml");
  if (const auto *it = std::get_if<Diagnostics>(&parsed))
    for (const auto &one : *it)
      out.push_back(one.str());
  return out;
}

} // namespace

TEST_CASE("settings are read, and printed in a form that reads the same") {
  const auto settings = std::get<LocalSettings>(parseLocalSettings(Good, "f"));
  CHECK(settings.Self.Node == NodeId("entry-1"));
  CHECK(settings.Self.PeerAddress == "10.0.0.1:8081");
  CHECK(settings.Admin.Ip == "::1");
  CHECK(settings.PlatformUrl == "http://127.0.0.1:7000");
  REQUIRE(settings.Self.Seeds.size() == 1);
  CHECK(settings.Self.Seeds[0].Node == NodeId("entry-2"));
  CHECK((settings.LogFormat == LogFormat::Json));
  CHECK((settings.LogLevel == LogLevel::Warn));
  const auto text = formatLocalSettings(settings);
  CHECK(formatLocalSettings(std::get<LocalSettings>(parseLocalSettings(text, "f"))) == text);
}

TEST_CASE("all findings are reported together, each with file, line and column") {
  const auto found = findings("node: a/b\n"
                              "region: r\n"
                              "addresses:\n"
                              "  callers: 127.0.0.1\n"
                              "  peers: 127.0.0.1:1\n"
                              "  admin: 127.0.0.1:2\n"
                              "  extra: 1\n"
                              "platform: ftp://x\n"
                              "seeds:\n"
                              "  - node: b\n"
                              "log:\n"
                              "  level: loud\n"
                              "  level: info\n");
  const auto has = [&](std::string_view start) {
    return std::any_of(found.begin(), found.end(),
                       [&](const std::string &it) { return it.starts_with(start); });
  };
  CHECK(has("f.yaml:1:7: node: expected"));
  CHECK(has("f.yaml:1:1: availability_zone: missing"));
  CHECK(has("f.yaml:4:12: addresses.callers: expected an IP address"));
  CHECK(has("f.yaml:7:3: addresses.extra: unknown key"));
  CHECK(has("f.yaml:8:11: platform: expected a URL"));
  CHECK(has("f.yaml:10:5: seeds[0].address: missing"));
  CHECK(has("f.yaml:13:3: log.level: given twice"));
  CHECK(has("f.yaml:12:10: log.level: expected one of debug, info, warn, error"));
  CHECK(found.size() == 8);
  CHECK(findings("node: [").at(0).starts_with("f.yaml:1:"));
  CHECK(findings("").size() == 1);
  CHECK(std::get<Diagnostics>(loadLocalSettings("/nonexistent/f.yaml")).size() == 1);
}

TEST_CASE("what the platform promises of promotions and configurations is read, with the cautious values as "
          "defaults") {
  const std::string sessions = Good + "interface: sessions\nduties: http://127.0.0.1:7001\n";
  const auto plain = std::get<LocalSettings>(parseLocalSettings(sessions, "f"));
  CHECK_FALSE(plain.Self.PromotionFencing);
  CHECK_FALSE(plain.Self.FirstStart);
  CHECK((plain.Self.PropagationBound == 3s));
  const auto set = std::get<LocalSettings>(parseLocalSettings(
      sessions + "promotion_fencing: true\nfirst_start: true\npropagation_ms: 6000\n", "f"));
  CHECK(set.Self.PromotionFencing);
  CHECK(set.Self.FirstStart);
  CHECK((set.Self.PropagationBound == 6s));
  const auto text = formatLocalSettings(set);
  CHECK(formatLocalSettings(std::get<LocalSettings>(parseLocalSettings(text, "f"))) == text);
  CHECK(findings(sessions + "propagation_ms: 100\n").size() == 1);
  CHECK(findings(sessions + "promotion_fencing: maybe\n").size() == 1);
}

TEST_CASE("bounds for workspaces and limits of the VM are read, and are absent by default") {
  const std::string sessions = Good + "interface: sessions\nduties: http://127.0.0.1:7001\n";
  // A template leaves the values empty that the platform does not name.
  const auto plain = std::get<LocalSettings>(parseLocalSettings(
      sessions + "strict_revocation:\nrevocation_ms:\nquota_window_s:\nmemory_mb:\n", "f"));
  CHECK_FALSE(plain.Self.RevocationBound);
  CHECK_FALSE(plain.Self.Quota);
  CHECK_FALSE(plain.MemoryMb);
  CHECK_FALSE(plain.Self.TargetPace);
  CHECK_FALSE(plain.MaxDescriptors);
  const auto set = std::get<LocalSettings>(parseLocalSettings(
      sessions + "strict_revocation: true\nrevocation_ms: 7000\nquota_window_s: 5\nquota_overshoot: 0.1\n"
                 "quota_slack: 20\nmemory_mb: 160\nmax_descriptors: 4300\ntarget_pace: true\n",
      "f"));
  CHECK((set.Self.RevocationBound == Duration(7s)));
  REQUIRE(set.Self.Quota);
  CHECK((set.Self.Quota->Window == 5s));
  CHECK(set.Self.Quota->Overshoot == doctest::Approx(0.1));
  CHECK(set.Self.Quota->Slack == 20);
  CHECK(set.MemoryMb == 160U);
  CHECK(set.Self.TargetPace);
  CHECK(set.MaxDescriptors == 4'300U);
  const auto text = formatLocalSettings(set);
  CHECK(formatLocalSettings(std::get<LocalSettings>(parseLocalSettings(text, "f"))) == text);
  CHECK(findings(sessions + "revocation_ms: 10\n")
            .at(0)
            .ends_with("expected milliseconds from 1000 to 600000"));
  CHECK(findings(sessions + "quota_overshoot: 2\nmemory_mb: lots\n").size() == 2);
}

TEST_CASE("damaged files give settings or findings") {
  std::mt19937_64 random(61);
  for (int n = 0; n < 3'000; ++n) {
    const auto out = parseLocalSettings(testing::corrupt(Good, random), "f");
    if (const auto *it = std::get_if<Diagnostics>(&out))
      CHECK(!it->empty());
    else
      CHECK(!std::get<LocalSettings>(out).Self.Node.empty());
  }
}

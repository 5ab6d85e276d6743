// Reads the local settings file.

#include "daemon/localsettings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace rosemaryhinge {

namespace {

constexpr std::size_t MaxFileBytes = std::size_t{256} << 10;
constexpr std::size_t MaxSeeds = 1'000;
constexpr std::size_t MaxName = 64;
constexpr double MinGrace = 1;
constexpr double MaxGrace = 600;
constexpr std::chrono::milliseconds MinPropagation{2'000};
constexpr std::chrono::milliseconds MaxPropagation{60'000};
constexpr std::chrono::milliseconds MinRevocation{1'000};
constexpr std::chrono::milliseconds MaxRevocation{600'000};
constexpr std::chrono::milliseconds DefaultRevocation{5'000};
constexpr double MinQuotaWindow = 1;   ///< Seconds.
constexpr double MaxQuotaWindow = 600; ///< Seconds.
constexpr double MaxQuotaSlack = 1'000'000;
/// Share of the memory for values and prepared statements of sessions.
constexpr std::size_t SessionStateDivisor = 8;
constexpr double MinMemoryMb = 16;
constexpr double MaxMemoryMb = 1'048'576;
constexpr double MinDescriptors = 64;
constexpr double MaxDescriptors = 1'048'576;

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn", "error"};
constexpr std::array<std::string_view, 2> InterfaceNames = {"requests", "sessions"};
constexpr std::array<std::string_view, 2> FormatNames = {"key_value", "json"};
constexpr std::array<std::string_view, 2> SwitchNames = {"false", "true"};

class Reader {
public:
  explicit Reader(std::string file) : File(std::move(file)) {}

  Diagnostics Found;

  void report(const YAML::Mark &mark, std::string message) {
    const bool known = !mark.is_null();
    Found.push_back({File, known ? mark.line + 1 : 0, known ? mark.column + 1 : 0, std::move(message)});
  }

  /// Checks that a node is a map with no other keys than these, each once.
  bool checkMap(const YAML::Node &node, const std::string &path,
                std::initializer_list<std::string_view> keys) {
    if (!node.IsMap()) {
      report(node.Mark(), (path.empty() ? "the file" : path) + ": expected a map");
      return false;
    }
    std::set<std::string> seen;
    for (const auto &it : node) {
      if (!it.first.IsScalar()) {
        report(it.first.Mark(), "a key must be a name");
        continue;
      }
      const auto &key = it.first.Scalar();
      if (std::find(keys.begin(), keys.end(), key) == keys.end())
        report(it.first.Mark(), join(path, key) + ": unknown key");
      else if (!seen.insert(key).second)
        report(it.first.Mark(), join(path, key) + ": given twice");
    }
    return true;
  }

  /// Value of a key; a finding if it is required and absent, or not a scalar.
  std::string text(const YAML::Node &parent, const std::string &path, const char *key, bool required,
                   YAML::Mark *mark = nullptr) {
    const auto node = parent[key];
    if (mark)
      *mark = node ? node.Mark() : parent.Mark();
    if (!node || node.IsNull()) {
      if (required)
        report(parent.Mark(), join(path, key) + ": missing");
      return {};
    }
    if (!node.IsScalar()) {
      report(node.Mark(), join(path, key) + ": expected a text");
      return {};
    }
    return node.Scalar();
  }

  std::string name(const YAML::Node &parent, const std::string &path, const char *key) {
    YAML::Mark mark;
    auto out = text(parent, path, key, true, &mark);
    const bool valid = out.size() <= MaxName && std::all_of(out.begin(), out.end(), [](unsigned char it) {
                         return std::isalnum(it) || it == '-' || it == '_' || it == '.';
                       });
    if (!valid)
      report(mark, join(path, key) + ": expected at most " + std::to_string(MaxName) +
                       " letters, digits, '-', '_' or '.'");
    return out;
  }

  SocketAddress address(const YAML::Node &parent, const std::string &path, const char *key, bool required,
                        std::string *whole = nullptr) {
    YAML::Mark mark;
    const auto out = text(parent, path, key, required, &mark);
    if (whole)
      *whole = out;
    if (out.empty())
      return {};
    const auto parsed = parseAddress(out);
    if (!parsed)
      report(mark, join(path, key) + ": expected an IP address and a port, such as 10.0.0.1:8080");
    return parsed.value_or(SocketAddress{});
  }

  template <std::size_t N>
  std::size_t choice(const YAML::Node &parent, const std::string &path, const char *key,
                     const std::array<std::string_view, N> &names, std::size_t otherwise) {
    YAML::Mark mark;
    const auto out = text(parent, path, key, false, &mark);
    if (out.empty())
      return otherwise;
    const auto it = std::find(names.begin(), names.end(), out);
    if (it != names.end())
      return static_cast<std::size_t>(it - names.begin());
    std::string list;
    for (const auto &one : names)
      list.append(list.empty() ? "" : ", ").append(one);
    report(mark, join(path, key) + ": expected one of " + list);
    return otherwise;
  }

  static std::string join(const std::string &path, const std::string &key) {
    return path.empty() ? key : path + "." + key;
  }

private:
  std::string File;
};

void readSeeds(Reader &in, const YAML::Node &list, NodeConfig &self) {
  if (!list || list.IsNull())
    return;
  if (!list.IsSequence() || list.size() > MaxSeeds) {
    in.report(list.Mark(), "seeds: expected a list of at most " + std::to_string(MaxSeeds) + " entries");
    return;
  }
  for (std::size_t n = 0; n < list.size(); ++n) {
    const auto path = "seeds[" + std::to_string(n) + "]";
    if (!in.checkMap(list[n], path, {"node", "address"}))
      continue;
    SeedPeer seed;
    seed.Node = NodeId(in.name(list[n], path, "node"));
    in.address(list[n], path, "address", true, &seed.Address);
    // One file may serve the whole fleet: a proxy is no seed of itself.
    if (seed.Node != self.Node)
      self.Seeds.push_back(std::move(seed));
  }
}

std::string readUrl(Reader &in, const YAML::Node &root, const char *key) {
  YAML::Mark mark;
  auto out = in.text(root, "", key, true, &mark);
  while (out.ends_with('/'))
    out.pop_back();
  const std::string_view url = out;
  const auto scheme = url.starts_with("http://") ? 7U : url.starts_with("https://") ? 8U : 0U;
  const bool valid = scheme != 0 && url.size() > scheme &&
                     url.find_first_of("/?#@ \t\r\n", scheme) == std::string_view::npos;
  if (!url.empty() && !valid)
    in.report(mark, std::string(key) + ": expected a URL without a path, such as http://10.0.0.1:7000");
  return out;
}

/// The shortest text that reads as the same number.
std::string formatNumber(double value) {
  std::array<char, 64> buf{};
  const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::fixed);
  return {buf.data(), end};
}

/// An optional number at the root. A finding if it is not one from least to most.
std::optional<double> readNumber(Reader &in, const YAML::Node &root, const char *key, double least,
                                 double most, std::string_view unit) {
  YAML::Mark mark;
  const auto text = in.text(root, "", key, false, &mark);
  if (text.empty())
    return std::nullopt;
  double value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec == std::errc() && end == text.data() + text.size() && value >= least && value <= most)
    return value;
  in.report(mark, std::string(key) + ": expected " + std::string(unit) + " from " + formatNumber(least) +
                      " to " + formatNumber(most));
  return std::nullopt;
}

std::optional<Duration> readMillis(Reader &in, const YAML::Node &root, const char *key,
                                   std::chrono::milliseconds least, std::chrono::milliseconds most) {
  const auto value = readNumber(in, root, key, static_cast<double>(least.count()),
                                static_cast<double>(most.count()), "milliseconds");
  return value ? std::optional(std::chrono::milliseconds(std::llround(*value))) : std::nullopt;
}

/// Settings of workspaces: how old the list of keys may be, and how exactly quotas are kept.
void readWorkspaces(Reader &in, const YAML::Node &root, NodeConfig &out) {
  const auto revocation = readMillis(in, root, "revocation_ms", MinRevocation, MaxRevocation);
  if (in.choice(root, "", "strict_revocation", SwitchNames, 0) == 1)
    out.RevocationBound = revocation.value_or(DefaultRevocation);
  const auto window = readNumber(in, root, "quota_window_s", MinQuotaWindow, MaxQuotaWindow, "seconds");
  const auto overshoot = readNumber(in, root, "quota_overshoot", 0, 1, "a share");
  const auto slack = readNumber(in, root, "quota_slack", 0, MaxQuotaSlack, "operations");
  if (!window)
    return;
  const auto span = std::chrono::duration<double>(*window);
  out.Quota =
      QuotaBounds{std::chrono::duration_cast<Duration>(span), overshoot.value_or(0), slack.value_or(0)};
}

std::optional<std::uint32_t> readCount(Reader &in, const YAML::Node &root, const char *key, double least,
                                       double most, std::string_view unit) {
  const auto value = readNumber(in, root, key, least, most, unit);
  return value ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

/// Settings that only proxies with sessions have.
void readSessions(Reader &in, const YAML::Node &root, LocalSettings &out) {
  out.DutiesUrl = readUrl(in, root, "duties");
  if (const auto regions = root["regions"]; regions && !regions.IsNull()) {
    if (!regions.IsMap()) {
      in.report(regions.Mark(), "regions: expected a map of availability zones to regions");
    } else {
      for (const auto &it : regions)
        out.Self.RegionByZone[AvailabilityZone(it.first.Scalar())] = Region(it.second.Scalar());
    }
  }
  out.Self.FirstStart = in.choice(root, "", "first_start", SwitchNames, 0) == 1;
  if (const auto bound = readMillis(in, root, "propagation_ms", MinPropagation, MaxPropagation))
    out.Self.PropagationBound = *bound;
  readWorkspaces(in, root, out.Self);
  out.Self.TargetPace = in.choice(root, "", "target_pace", SwitchNames, 0) == 1;
  out.MemoryMb = readCount(in, root, "memory_mb", MinMemoryMb, MaxMemoryMb, "megabytes");
  if (out.MemoryMb)
    out.Self.SessionStateBytes = (std::size_t{*out.MemoryMb} << 20) / SessionStateDivisor;
  out.MaxDescriptors = readCount(in, root, "max_descriptors", MinDescriptors, MaxDescriptors, "descriptors");
  out.Self.PromotionFencing = in.choice(root, "", "promotion_fencing", SwitchNames, 0) == 1;
  YAML::Mark mark;
  if (const auto grace = in.text(root, "", "shutdown_grace_s", false, &mark); !grace.empty()) {
    double seconds = 0;
    const auto [end, ec] = std::from_chars(grace.data(), grace.data() + grace.size(), seconds);
    if (ec != std::errc() || end != grace.data() + grace.size() || seconds < MinGrace || seconds > MaxGrace)
      in.report(mark, "shutdown_grace_s: expected seconds from 1 to 600");
    else
      out.Self.ShutdownGrace = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
}

void readRoot(Reader &in, const YAML::Node &root, LocalSettings &out) {
  if (!in.checkMap(root, "",
                   {"node",
                    "region",
                    "availability_zone",
                    "interface",
                    "addresses",
                    "platform",
                    "duties",
                    "regions",
                    "shutdown_grace_s",
                    "promotion_fencing",
                    "first_start",
                    "propagation_ms",
                    "strict_revocation",
                    "revocation_ms",
                    "quota_window_s",
                    "quota_overshoot",
                    "quota_slack",
                    "memory_mb",
                    "max_descriptors",
                    "target_pace",
                    "seeds",
                    "log"}))
    return;
  out.Self.Node = NodeId(in.name(root, "", "node"));
  out.Self.Region = Region(in.name(root, "", "region"));
  out.Self.AvailabilityZone = AvailabilityZone(in.name(root, "", "availability_zone"));
  out.Self.Interface = static_cast<CallerInterface>(in.choice(root, "", "interface", InterfaceNames, 0));
  const bool sessions = out.Self.Interface == CallerInterface::Sessions;
  out.PlatformUrl = readUrl(in, root, "platform");
  if (sessions)
    readSessions(in, root, out);
  if (const auto addresses = root["addresses"]; !addresses) {
    in.report(root.Mark(), "addresses: missing");
  } else if (in.checkMap(addresses, "addresses", {"callers", "peers", "admin", "metrics", "advertised"})) {
    std::string listen;
    out.Callers = in.address(addresses, "addresses", "callers", true);
    out.Peers = in.address(addresses, "addresses", "peers", !sessions, &listen);
    out.Admin = in.address(addresses, "addresses", "admin", true);
    if (sessions && addresses["metrics"])
      out.MetricsOnly = in.address(addresses, "addresses", "metrics", true);
    in.address(addresses, "addresses", "advertised", false, &out.Self.PeerAddress);
    if (out.Self.PeerAddress.empty())
      out.Self.PeerAddress = listen;
  }
  readSeeds(in, root["seeds"], out.Self);
  if (const auto log = root["log"]; log && !log.IsNull() && in.checkMap(log, "log", {"format", "level"})) {
    out.LogFormat = static_cast<LogFormat>(in.choice(log, "log", "format", FormatNames, 0));
    out.LogLevel = static_cast<LogLevel>(in.choice(log, "log", "level", LevelNames, 1));
  }
}

std::string formatAddress(const SocketAddress &it) {
  const bool v6 = it.Ip.find(':') != std::string::npos;
  return (v6 ? "[" + it.Ip + "]" : it.Ip) + ":" + std::to_string(it.Port);
}

} // namespace

std::variant<LocalSettings, Diagnostics> parseLocalSettings(std::string_view yaml, const std::string &file) {
  LocalSettings out;
  Reader in(file);
  try {
    readRoot(in, YAML::Load(std::string(yaml)), out);
  } catch (const YAML::Exception &e) {
    in.report(e.mark, e.msg);
  }
  if (in.Found.empty())
    return out;
  return std::move(in.Found);
}

std::variant<LocalSettings, Diagnostics> loadLocalSettings(const std::string &file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    return Diagnostics{{file, 0, 0, "the file cannot be read"}};
  if (text.view().size() > MaxFileBytes)
    return Diagnostics{{file, 0, 0, "the file exceeds " + std::to_string(MaxFileBytes) + " bytes"}};
  return parseLocalSettings(text.view(), file);
}

std::string formatLocalSettings(const LocalSettings &settings) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  const auto pair = [&out](const char *key, std::string_view value) {
    out << YAML::Key << key << YAML::Value << std::string(value);
  };
  pair("node", settings.Self.Node.str());
  pair("region", settings.Self.Region.str());
  pair("availability_zone", settings.Self.AvailabilityZone.str());
  const bool sessions = settings.Self.Interface == CallerInterface::Sessions;
  pair("interface", InterfaceNames.at(static_cast<std::size_t>(settings.Self.Interface)));
  out << YAML::Key << "addresses" << YAML::Value << YAML::BeginMap;
  pair("callers", formatAddress(settings.Callers));
  if (!sessions || settings.Peers.Port != 0)
    pair("peers", formatAddress(settings.Peers));
  pair("admin", formatAddress(settings.Admin));
  if (settings.MetricsOnly)
    pair("metrics", formatAddress(*settings.MetricsOnly));
  if (!settings.Self.PeerAddress.empty())
    pair("advertised", settings.Self.PeerAddress);
  out << YAML::EndMap;
  pair("platform", settings.PlatformUrl);
  if (sessions) {
    pair("duties", settings.DutiesUrl);
    pair("shutdown_grace_s",
         std::to_string(std::chrono::duration<double>(settings.Self.ShutdownGrace).count()));
    pair("first_start", SwitchNames.at(settings.Self.FirstStart ? 1 : 0));
    pair("propagation_ms", std::to_string(settings.Self.PropagationBound / 1ms));
    pair("promotion_fencing", SwitchNames.at(settings.Self.PromotionFencing ? 1 : 0));
    pair("target_pace", SwitchNames.at(settings.Self.TargetPace ? 1 : 0));
    pair("strict_revocation", SwitchNames.at(settings.Self.RevocationBound ? 1 : 0));
    if (const auto &bound = settings.Self.RevocationBound)
      pair("revocation_ms", std::to_string(*bound / 1ms));
    if (const auto &quota = settings.Self.Quota) {
      pair("quota_window_s", formatNumber(std::chrono::duration<double>(quota->Window).count()));
      pair("quota_overshoot", formatNumber(quota->Overshoot));
      pair("quota_slack", formatNumber(quota->Slack));
    }
    if (settings.MemoryMb)
      pair("memory_mb", std::to_string(*settings.MemoryMb));
    if (settings.MaxDescriptors)
      pair("max_descriptors", std::to_string(*settings.MaxDescriptors));
    out << YAML::Key << "regions" << YAML::Value << YAML::BeginMap;
    for (const auto &[zone, region] : settings.Self.RegionByZone)
      pair(zone.str().c_str(), region.str());
    out << YAML::EndMap;
  }
  out << YAML::Key << "seeds" << YAML::Value << YAML::BeginSeq;
  for (const auto &it : settings.Self.Seeds) {
    out << YAML::BeginMap;
    pair("node", it.Node.str());
    pair("address", it.Address);
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
  out << YAML::Key << "log" << YAML::Value << YAML::BeginMap;
  pair("format", FormatNames.at(static_cast<std::size_t>(settings.LogFormat)));
  pair("level", LevelNames.at(static_cast<std::size_t>(settings.LogLevel)));
  out << YAML::EndMap << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

} // namespace rosemaryhinge

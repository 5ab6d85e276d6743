// The plan of a run's faults.

#include "platformsoak/faultplan.h"

#include "base/overloaded.h"
#include "platformsoak/workspaces.h"
#include "platformsoak/zones.h"

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <random>

namespace rosemaryhinge::platformsoak {

namespace {

/// A draining server is gone and replaced after about 10 s.
constexpr Millis DrainGapMs = 11'000;
constexpr Millis StoreGapMs = 9'000;
constexpr int ServersOfService = 3;
constexpr Millis DuringStopMs = 1'500;
constexpr Millis MinKilledMs = 300, MaxKilledMs = 3'000;
/// A crashed server is back after this time at most.
constexpr Millis MaxCrashMs = 7'000;
constexpr std::array<Millis, 4> DelaysMs = {5, 15, 40, 120};

class Planner {
public:
  explicit Planner(const PlanOptions &options) : Options(options) {}

  std::vector<PlannedFault> make() {
    if (with("rolls"))
      rolls();
    else if (with("stops"))
      singleStops();
    if (with("hups"))
      every("hups", 1'500, 4'000, [&] { return ReloadProxy{proxy()}; });
    every("drain", DrainGapMs, DrainGapMs + 3'000, [&] {
      return DrainServer{service(), false, number(0, 1)};
    });
    every("primary", DrainGapMs, DrainGapMs + 4'000, [&] { return DrainServer{service(), true, 0}; });
    every("config", 2'000, 5'000, [&] { return ChangeConfiguration{seed("config")}; });
    every("slow", StoreGapMs, 2 * StoreGapMs, [&] { return SlowStore{span(100, 400), span(3'000, 6'000)}; });
    every("down", StoreGapMs, 2 * StoreGapMs, [&] {
      return StoreDown{span(2'000, 5'000), number(0, 1) == 1};
    });
    every("restored", StoreGapMs, 2 * StoreGapMs, [&] {
      return RestoreStore{span(1'000, 6'000), span(200, 2'000)};
    });
    every("slowcallers", 6'000, 9'000, [&] { return SlowCallers{span(2'000, 6'000)}; });
    every("burst", 5'000, 9'000, [&] { return Burst{span(3'000, 6'000)}; });
    every("withdraw", 5'000, 8'000, [&] { return withdrawal(); });
    every("flood", 6'000, 10'000, [&] {
      return Flood{number(0, static_cast<int>(Tenants.size()) - 1), span(4'000, 7'000)};
    });
    if (with("replace"))
      replacements();
    everyOfService("crash", 9'000, 18'000, [&](int it) { return CrashPrimary{it, span(300, 6'000)}; });
    everyOfService("lost", 4'000, 9'000, [&](int it) {
      return LosePrimary{it, someProxies(), span(1'500, 8'000)};
    });
    everyOfService("cut", 4'000, 9'000, [&](int it) {
      return CutReplicas{it, number(0, 1) == 1, span(1'000, 5'000)};
    });
    everyOfService("partition", 6'000, 12'000, [&](int it) {
      return PartitionPrimary{it, someProxies(), span(2'000, 6'000)};
    });
    everyOfService("late", 5'000, 10'000, [&](int it) { return DelayOrders{it, span(3'000, 8'000)}; });
    every("kill", 3'000, 8'000, [&] { return KillProxy{proxy(), span(MinKilledMs, MaxKilledMs)}; });
    every("suspend", 3'000, 8'000, [&] { return SuspendProxy{proxy(), span(500, 4'000)}; });
    if (with("crashes"))
      crashes();
    every("latestore", 6'000, 10'000, [&] { return DelayWrites{span(2'000, 5'000), seed("latestore")}; });
    every("zones", 7'000, 13'000, [&] { return lostZone(); });
    every("entries", 3'000, 8'000, [&] { return DeleteEntry{proxy()}; });
    std::stable_sort(Out.begin(), Out.end(), [](const auto &a, const auto &b) { return a.At < b.At; });
    return std::move(Out);
  }

private:
  [[nodiscard]] bool with(std::string_view name) const { return Options.With.contains(name); }

  /// Each trouble has random numbers of its own, so that it stays the same beside others.
  std::mt19937_64 &random(std::string_view name) {
    Trouble = name;
    if (!Randoms.contains(Trouble)) {
      std::seed_seq seeds(Trouble.begin(), Trouble.end());
      std::vector<std::uint32_t> first(1);
      seeds.generate(first.begin(), first.end());
      Randoms[Trouble].seed(Options.Seed * 1'000'003 + first.front());
    }
    return Randoms[Trouble];
  }
  Millis span(Millis least, Millis most) {
    return std::uniform_int_distribution<Millis>(least, most)(random(Trouble));
  }
  int number(int least, int most) { return static_cast<int>(span(least, most)); }
  int proxy() { return number(0, Options.Proxies - 1); }
  int service() { return number(0, Options.Services - 1); }
  std::uint64_t seed(std::string_view name) { return random(name)(); }

  template <typename Make> void every(std::string_view name, Millis least, Millis most, Make make) {
    if (!with(name))
      return;
    random(name);
    for (auto at = span(1'000, most); at < Options.LengthMs; at += span(least, most))
      Out.push_back({at, make()});
  }

  /// The services are independent of each other.
  template <typename Make> void everyOfService(std::string_view name, Millis least, Millis most, Make make) {
    if (!with(name))
      return;
    random(name);
    for (int service = 0; service < Options.Services; ++service)
      for (auto at = span(0, most); at < Options.LengthMs; at += span(least, most))
        Out.push_back({at, make(service)});
  }

  /// Not all of them.
  std::set<std::size_t> someProxies() {
    std::set<std::size_t> out;
    for (auto n = number(1, Options.Proxies - 1); n > 0; --n)
      out.insert(static_cast<std::size_t>(proxy()));
    return out;
  }

  /// With no proxy, one, or all of them cut off from the store.
  WithdrawKey withdrawal() {
    WithdrawKey out{seed("withdraw"), {}, span(4'000, 9'000)};
    const auto cut = number(0, 2);
    if (cut == 1)
      out.CutProxies.push_back(proxy());
    for (int n = 0; cut == 2 && n < Options.Proxies; ++n)
      out.CutProxies.push_back(n);
    return out;
  }

  LoseZone lostZone() {
    LoseZone out;
    out.Proxies = proxiesOfZone(static_cast<std::size_t>(number(0, static_cast<int>(ZoneNames.size()) - 1)));
    out.Trouble = static_cast<ZoneTrouble>(number(0, static_cast<int>(ZoneTrouble::Killed)));
    out.ForMs = span(1'000, 6'000);
    return out;
  }

  StopProxy stop(int proxy) {
    StopProxy out{proxy, span(500, 1'000), {}, {}};
    out.FurtherTermsAfterMs = during("second", 2);
    out.HupsAfterMs = during("hups", 3);
    return out;
  }

  /// Delays and held answers fall into the stops: there, sessions are closed and new ones still come.
  void addStop(Millis at, int proxy) {
    Out.push_back({at, stop(proxy)});
    for (const auto it : during("delay", 2))
      Out.push_back({at + it, DelayCallers{proxy, DelaysMs.at(static_cast<std::size_t>(it) % DelaysMs.size()),
                                           DuringStopMs}});
    for (const auto it : during("hold", 2))
      Out.push_back({at + it, HoldAnswers{proxy, DuringStopMs}});
  }

  /// Up to so many times during a stop.
  std::vector<Millis> during(std::string_view name, int most) {
    std::vector<Millis> out;
    if (!with(name))
      return out;
    const auto before = Trouble;
    random(name);
    for (auto n = number(0, most); n > 0; --n)
      out.push_back(span(5, 5'800));
    Trouble = before;
    return out;
  }

  void singleStops() {
    random("stops");
    int last = -1;
    for (auto at = span(500, 2'000); at < Options.LengthMs; at += span(2'500, 4'000)) {
      int next = proxy();
      while (next == last)
        next = proxy();
      last = next;
      addStop(at, next);
    }
  }

  void rolls() {
    random("rolls");
    std::vector<int> order(static_cast<std::size_t>(Options.Proxies));
    std::iota(order.begin(), order.end(), 0);
    for (auto at = span(500, 2'000); at < Options.LengthMs; at += span(500, 8'000)) {
      std::shuffle(order.begin(), order.end(), random("rolls"));
      for (const auto it : order) {
        if (at >= Options.LengthMs)
          break;
        addStop(at, it);
        at += span(500, 2'500);
      }
    }
  }

  /// All servers of a service are replaced one after the other, the primary among them, and again. The
  /// services are independent of each other.
  void replacements() {
    random("replace");
    for (int service = 0; service < Options.Services; ++service)
      for (auto at = span(0, 3'000); at < Options.LengthMs; at += span(2'000, 5'000))
        for (int n = 0, primary = number(0, ServersOfService - 1); n < ServersOfService; ++n) {
          Out.push_back({at, ReplaceServer{service, n == primary, span(100, 1'000)}});
          at += span(200, 1'500);
        }
  }

  /// A proxy's record of commits matters most while servers are away: with kill, one is killed at that time.
  void crashes() {
    random("crashes");
    for (int service = 0; service < Options.Services; ++service)
      for (auto at = span(1'000, 8'000); at < Options.LengthMs; at += span(12'000, 20'000)) {
        const CrashServers crash{service, span(3'000, MaxCrashMs), span(200, 1'500), span(1'000, MaxCrashMs),
                                 span(1'000, MaxCrashMs)};
        const KillProxy kill{proxy(), span(MinKilledMs, MaxKilledMs)};
        Out.push_back({at, crash});
        if (with("kill"))
          Out.push_back({at + crash.PrimaryAfterMs, kill});
      }
  }

  const PlanOptions &Options;
  std::vector<PlannedFault> Out;
  std::map<std::string, std::mt19937_64, std::less<>> Randoms;
  std::string Trouble;
};

std::string spanText(Millis ms) { return " for " + std::to_string(ms) + " ms"; }

} // namespace

const std::vector<std::string> &troubleNames() {
  static const std::vector<std::string> Names = {
      "stops",    "rolls", "second",   "hups",    "drain",     "primary",     "config",
      "slow",     "down",  "restored", "delay",   "hold",      "slowcallers", "burst",
      "withdraw", "flood", "replace",  "crash",   "lost",      "cut",         "partition",
      "late",     "kill",  "suspend",  "crashes", "latestore", "entries",     "zones"};
  return Names;
}

std::vector<PlannedFault> makePlan(const PlanOptions &options) { return Planner(options).make(); }

std::string describe(const Fault &fault) {
  const auto proxy = [](int n) { return " proxy " + std::to_string(n + 1); };
  return std::visit(
      Overloaded{
          [&](const StopProxy &it) {
            return "stop" + proxy(it.Proxy) + ", " + std::to_string(it.FurtherTermsAfterMs.size()) +
                   " further SIGTERM, " + std::to_string(it.HupsAfterMs.size()) + " SIGHUP";
          },
          [&](const KillProxy &it) {
            return "kill" + proxy(it.Proxy) + ", started after " + std::to_string(it.RestartAfterMs) + " ms";
          },
          [&](const SuspendProxy &it) { return "suspend" + proxy(it.Proxy) + spanText(it.ForMs); },
          [&](const LoseZone &it) {
            const char *what = it.Trouble == ZoneTrouble::Suspended ? "suspend"
                               : it.Trouble == ZoneTrouble::Cut     ? "cut off"
                                                                    : "kill";
            std::string out = what + std::string(" a zone:");
            for (const auto n : it.Proxies)
              out += proxy(static_cast<int>(n));
            return out + spanText(it.ForMs);
          },
          [&](const CrashServers &it) {
            return "crash of a replica of service " + std::to_string(it.Service) +
                   spanText(it.ReplicaDownMs) + ", then of the primary" + spanText(it.PrimaryDownMs) +
                   " and another server" + spanText(it.OtherDownMs);
          },
          [&](const DelayWrites &it) { return "late writes to the store" + spanText(it.ForMs); },
          [&](const DeleteEntry &it) { return "delete the entry of" + proxy(it.Proxy); },
          [&](const ReloadProxy &it) { return "SIGHUP" + proxy(it.Proxy); },
          [&](const DrainServer &it) {
            return (it.Primary ? "drain primary of service " : "drain replica of service ") +
                   std::to_string(it.Service);
          },
          [&](const ReplaceServer &it) {
            return (it.Primary ? "replace primary of service " : "replace replica of service ") +
                   std::to_string(it.Service) + ", the new one listed after " +
                   std::to_string(it.ListedAfterMs) + " ms";
          },
          [&](const CrashPrimary &it) {
            return "crash of the primary of service " + std::to_string(it.Service) + spanText(it.DownMs);
          },
          [&](const LosePrimary &it) {
            return std::to_string(it.Proxies.size()) + " proxies lose the primary of service " +
                   std::to_string(it.Service) + spanText(it.ForMs);
          },
          [&](const CutReplicas &it) {
            return std::string(it.All ? "all replicas" : "a replica") + " cut from the primary of service " +
                   std::to_string(it.Service) + spanText(it.ForMs);
          },
          [&](const PartitionPrimary &it) {
            return "the primary of service " + std::to_string(it.Service) + " cut from its replicas and " +
                   std::to_string(it.Proxies.size()) + " proxies" + spanText(it.ForMs);
          },
          [&](const DelayOrders &it) {
            return "late orders of service " + std::to_string(it.Service) + spanText(it.ForMs);
          },
          [&](const ChangeConfiguration &) { return std::string("change configuration"); },
          [&](const SlowStore &it) {
            return "store slower by " + std::to_string(it.ExtraMs) + " ms" + spanText(it.ForMs);
          },
          [&](const StoreDown &it) {
            return std::string(it.Silent ? "store silent" : "store busy") + spanText(it.ForMs);
          },
          [&](const RestoreStore &it) {
            return "store away" + spanText(it.DownMs) + ", back from a copy of " + std::to_string(it.AgeMs) +
                   " ms before";
          },
          [&](const DelayCallers &it) {
            return "delay of " + std::to_string(it.DelayMs) + " ms to" + proxy(it.Proxy) + spanText(it.ForMs);
          },
          [&](const HoldAnswers &it) { return "answers held at" + proxy(it.Proxy) + spanText(it.ForMs); },
          [&](const SlowCallers &it) { return "slow callers" + spanText(it.ForMs); },
          [&](const Burst &it) { return "burst" + spanText(it.ForMs); },
          [&](const WithdrawKey &it) {
            return "withdraw a key, " + std::to_string(it.CutProxies.size()) + " proxies cut off the store" +
                   spanText(it.CutForMs);
          },
          [&](const Flood &it) {
            return "flood of " + std::string(Tenants.at(static_cast<std::size_t>(it.Tenant)).Name) +
                   spanText(it.ForMs);
          },
      },
      fault);
}

} // namespace rosemaryhinge::platformsoak

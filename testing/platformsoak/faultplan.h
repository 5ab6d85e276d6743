// The plan of a run's faults. The same options give the same plan.

#pragma once

#include "platformsoak/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemaryhinge::platformsoak {

/// SIGTERM, SIGKILL after the grace if the process still runs, and a new process after its end.
struct StopProxy {
  int Proxy = 0;
  Millis RestartAfterMs = 0;
  std::vector<Millis> FurtherTermsAfterMs, HupsAfterMs;
};
/// SIGKILL to a proxy that serves, and a new process later.
struct KillProxy {
  int Proxy = 0;
  Millis RestartAfterMs = 0;
};
/// SIGSTOP to a proxy that serves, and SIGCONT after the time.
struct SuspendProxy {
  int Proxy = 0;
  Millis ForMs = 0;
};
/// The store loses the entry of a proxy that serves.
struct DeleteEntry {
  int Proxy = 0;
};
struct ReloadProxy {
  int Proxy = 0;
};
struct DrainServer {
  int Service = 0;
  bool Primary = false;
  int Replica = 0; ///< Which of the replicas, if not the primary.
};
/// A new replica joins, is listed after the time, and then the server drains and ends.
struct ReplaceServer {
  int Service = 0;
  bool Primary = false;
  Millis ListedAfterMs = 0;
};
struct CrashPrimary {
  int Service = 0;
  Millis DownMs = 0;
};
/// A replica crashes, and while it is away the primary and another server. All come back with their logs.
struct CrashServers {
  int Service = 0;
  Millis ReplicaDownMs = 0, PrimaryAfterMs = 0, PrimaryDownMs = 0, OtherDownMs = 0;
};
enum class ZoneTrouble : std::uint8_t {
  Suspended,
  Cut, ///< From the store and the proxies of other zones. Callers and servers are reached.
  Killed,
};
/// All proxies of an availability zone have the same trouble at the same time.
struct LoseZone {
  std::set<std::size_t> Proxies;
  ZoneTrouble Trouble = ZoneTrouble::Suspended;
  Millis ForMs = 0; ///< Of a killed zone: until its proxies are started again.
};
/// Connections between these proxies and the primary stall.
struct LosePrimary {
  int Service = 0;
  std::set<std::size_t> Proxies;
  Millis ForMs = 0;
};
/// All present replicas, or the first one only, receive nothing from the primary.
struct CutReplicas {
  int Service = 0;
  bool All = false;
  Millis ForMs = 0;
};
/// The primary is cut from all present replicas, and connections between these proxies and it stall. A
/// replica that joins receives from it.
struct PartitionPrimary {
  int Service = 0;
  std::set<std::size_t> Proxies;
  Millis ForMs = 0;
};
/// Some orders to servers, and to promote one, get no answer and are carried out seconds later.
struct DelayOrders {
  int Service = 0;
  Millis ForMs = 0;
};
struct ChangeConfiguration {
  std::uint64_t Seed = 0;
};
struct SlowStore {
  Millis ExtraMs = 0, ForMs = 0;
};
/// Some writes to the store get no answer and are carried out seconds later, if their condition still holds.
/// Lists that may be stale are up to 3 s old.
struct DelayWrites {
  Millis ForMs = 0;
  std::uint64_t Seed = 0; ///< Of the choice of writes and their delays.
};
struct StoreDown {
  Millis ForMs = 0;
  bool Silent = false;
};
struct RestoreStore {
  Millis AgeMs = 0, DownMs = 0;
};
struct DelayCallers {
  int Proxy = 0;
  Millis DelayMs = 0, ForMs = 0;
};
/// Answers of the proxy stay with it, as with callers that do not read.
struct HoldAnswers {
  int Proxy = 0;
  Millis ForMs = 0;
};
struct SlowCallers {
  Millis ForMs = 0;
};
/// Callers pause for half as long between operations.
struct Burst {
  Millis ForMs = 0;
};

/// A workspace's key is withdrawn, after some proxies have been cut off from the store.
struct WithdrawKey {
  std::uint64_t Seed = 0;
  std::vector<int> CutProxies;
  Millis CutForMs = 0;
};
/// A workspace sends many times its usual load.
struct Flood {
  int Tenant = 0;
  Millis ForMs = 0;
};

using Fault =
    std::variant<StopProxy, ReloadProxy, DrainServer, ChangeConfiguration, SlowStore, StoreDown, RestoreStore,
                 DelayCallers, HoldAnswers, SlowCallers, Burst, WithdrawKey, Flood, ReplaceServer,
                 CrashPrimary, LosePrimary, CutReplicas, PartitionPrimary, DelayOrders, KillProxy,
                 SuspendProxy, CrashServers, DelayWrites, DeleteEntry, LoseZone>;

struct PlannedFault {
  Millis At = 0;
  platformsoak::Fault Fault;
};

/// Names of the troubles that a plan may hold: see troubleNames.
using Troubles = std::set<std::string, std::less<>>;

struct PlanOptions {
  std::uint64_t Seed = 1;
  Millis LengthMs = 60'000;
  int Proxies = 6;
  int Services = 3;
  Troubles With;
};

/// stops: single SIGTERMs. rolls: over all proxies, overlapping. second, hups: besides these stops. The rest
/// by the names of the faults above: crashes is CrashServers, beside a killed proxy with kill; zones is
/// LoseZone.
[[nodiscard]] const std::vector<std::string> &troubleNames();
/// In the order of their times.
[[nodiscard]] std::vector<PlannedFault> makePlan(const PlanOptions &options);
[[nodiscard]] std::string describe(const Fault &fault);

} // namespace rosemaryhinge::platformsoak

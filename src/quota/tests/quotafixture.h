// Test fixture: proxies of several availability zones with their quota modules, and the store's leases.
// Messages and calls take effect at once, unless a proxy is cut off.

#pragma once

#include "quota/quotamodule.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace rosemaryhinge::testing {

class QuotaFleet {
public:
  struct Proxy {
    NodeConfig Self;
    rosemaryhinge::Catalog Catalog;
    FleetMap Fleet;
    StoreEra Era;
    QuotaModule Quota;
    std::mt19937_64 Random{7};
    std::uint64_t Incarnation = 1;
    std::uint64_t Number = 0;
    bool Up = true;
    bool StoreReachable = true;
    bool PeersReachable = true;
  };

  QuotaFleet(std::size_t zones, std::size_t proxiesPerZone, double rate, double burst) {
    Configured.Version = 1;
    Configured.Workspaces = {{WorkspaceId("w"), {}, 0, rate, burst}};
    for (std::size_t zone = 0; zone < zones; ++zone)
      for (std::size_t n = 0; n < proxiesPerZone; ++n)
        Names.push_back({"z" + std::to_string(zone), "n" + std::to_string(zone) + "-" + std::to_string(n)});
    for (const auto &[zone, name] : Names)
      add(zone, name);
  }

  /// Applies a change to a proxy and carries out what follows from it.
  template <typename F> void run(Proxy &proxy, F change) {
    Effects effects;
    std::vector<JournalEntry> journal;
    Context ctx{Now, proxy.Self, proxy.Incarnation, Allowed, proxy.Random, effects, journal, proxy.Number};
    const QuotaServices services{proxy.Catalog, proxy.Fleet, proxy.Era};
    change(ctx, services);
    proxy.Quota.sendRequests(ctx, services);
    for (const auto &it : proxy.Quota.takeDecisions())
      Decisions[it.Session] = it;
    for (auto &it : effects)
      Pending.push_back({proxy.Self.Node, std::move(it)});
    if (!Running) {
      Running = true;
      drain();
      Running = false;
    }
  }

  /// Lets time pass in small steps.
  void pass(Duration time) {
    for (const auto end = Now + time; Now < end; Now += Step)
      for (const auto &entry : Proxies)
        if (auto &proxy = *entry.second; proxy.Up)
          run(proxy,
              [&](Context &ctx, const QuotaServices &services) { proxy.Quota.onTimer(ctx, services); });
  }

  /// Starts an operation at a proxy, and returns the number under which its decision is found.
  SessionId ask(Proxy &proxy) {
    const SessionId id{++LastSession};
    run(proxy,
        [&](Context &ctx, const QuotaServices &) { proxy.Quota.request(WorkspaceId("w"), id, ctx.Now); });
    return id;
  }
  [[nodiscard]] bool granted(SessionId id) const {
    const auto it = Decisions.find(id);
    return it != Decisions.end() && it->second.Outcome == QuotaDecision::Result::Granted;
  }

  Proxy &proxy(const std::string &name) { return *Proxies.at(NodeId(name)); }
  /// The process is killed, and another one starts on its VM.
  void restart(const std::string &name) {
    auto &it = proxy(name);
    it.Quota = QuotaModule();
    ++it.Incarnation;
    it.Up = true;
  }
  void configure(double rate, double burst) {
    ++Configured.Version;
    Configured.Workspaces->front().RatePerSecond = rate;
    Configured.Workspaces->front().Burst = burst;
    for (auto &[name, it] : Proxies)
      it->Catalog.accept(Configured);
  }

  std::map<NodeId, std::unique_ptr<Proxy>> Proxies;
  std::map<AvailabilityZone, QuotaLease> Leases;
  std::map<SessionId, QuotaDecision> Decisions;
  TimePoint Now{1000s};
  bool StoreUp = true;

  static constexpr Duration Step = 10ms;

private:
  void add(const std::string &zone, const std::string &name) {
    auto proxy = std::make_unique<Proxy>();
    proxy->Self.Node = NodeId(name);
    proxy->Self.AvailabilityZone = AvailabilityZone(zone);
    proxy->Self.Region = Region(zone);
    proxy->Self.PeerAddress = "10.0.0.1:7000";
    proxy->Self.Quota = QuotaBounds{5s, 0.1, 20};
    for (const auto &[otherZone, other] : Names)
      proxy->Self.RegionByZone[AvailabilityZone(otherZone)] = Region(otherZone);
    proxy->Catalog.accept(Configured);
    listFleet(*proxy);
    Proxies[proxy->Self.Node] = std::move(proxy);
  }

  /// Answers the first list of proxies.
  void listFleet(Proxy &proxy) {
    Effects effects;
    std::vector<JournalEntry> journal;
    Context ctx{Now, proxy.Self, proxy.Incarnation, Allowed, proxy.Random, effects, journal, proxy.Number};
    proxy.Fleet.onStarted(ctx);
    proxy.Fleet.onTimer(ctx);
    std::vector<DirectoryObject> entries;
    for (const auto &[zone, name] : Names)
      entries.push_back({name, false, ProxyEntry{NodeId(name), AvailabilityZone(zone), "10.0.0.2:7000"}});
    const auto sent = effects;
    for (const auto &it : sent)
      if (const auto *call = std::get_if<DirectoryCall>(&it);
          call && std::holds_alternative<ListDirectory>(call->Request))
        proxy.Fleet.onAnswer(ctx, {call->Call, DirectoryListing{entries, false, 1}});
  }

  void drain() {
    while (!Pending.empty()) {
      const auto [from, effect] = std::move(Pending.front());
      Pending.pop_front();
      if (const auto *sent = std::get_if<SendToPeer>(&effect))
        deliver(from, *sent);
      else if (const auto *call = std::get_if<DirectoryCall>(&effect))
        answer(*Proxies.at(from), *call);
    }
  }

  void deliver(const NodeId &from, const SendToPeer &sent) {
    auto &to = *Proxies.at(sent.To);
    if (!to.Up || !to.PeersReachable || !Proxies.at(from)->PeersReachable)
      return;
    run(to, [&](Context &ctx, const QuotaServices &services) {
      if (const auto *request = std::get_if<QuotaRequest>(&sent.Message))
        to.Quota.onRequest(ctx, services, from, *request);
      else if (const auto *reply = std::get_if<QuotaReply>(&sent.Message))
        to.Quota.onReply(ctx, services, from, *reply);
      else if (const auto *handover = std::get_if<QuotaHandover>(&sent.Message))
        to.Quota.onHandover(ctx, from, *handover);
    });
  }

  void answer(Proxy &proxy, const DirectoryCall &call) {
    DirectoryAnswer out{call.Call, DirectoryFailure{"the store does not answer"}};
    if (StoreUp && proxy.StoreReachable) {
      if (const auto *put = std::get_if<PutQuotaLease>(&call.Request))
        out.Result = store(put->Next);
      else
        out.Result = list();
    }
    run(proxy,
        [&](Context &ctx, const QuotaServices &services) { proxy.Quota.onAnswer(ctx, services, out); });
  }

  decltype(DirectoryAnswer::Result) store(const QuotaLease &next) {
    auto &current = Leases[next.AvailabilityZone];
    if (current.Revision != next.Revision)
      return QuotaLeaseConflict{current};
    current = next;
    current.Revision = ++LastRevision;
    return QuotaLeaseStored{current};
  }
  [[nodiscard]] DirectoryListing list() const {
    DirectoryListing out;
    for (const auto &[zone, lease] : Leases)
      if (lease.Revision > 0)
        out.Objects.push_back({zone.str(), false, lease});
    return out;
  }

  struct PendingEffect {
    NodeId From;
    rosemaryhinge::Effect Effect;
  };
  Rules Allowed;
  Configuration Configured;
  std::vector<std::pair<std::string, std::string>> Names; ///< Availability zone and name of each proxy.
  std::deque<PendingEffect> Pending;
  bool Running = false;
  std::uint64_t LastSession = 0;
  std::uint64_t LastRevision = 0;
};

} // namespace rosemaryhinge::testing

// Injection of faults into a run.

#include "soak/faults.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemaryhinge::soak {

using fakes::Endpoint;
using fakes::FakeGroup;
using fakes::FakeProxy;
using fakes::FakeServer;

namespace {

constexpr std::array<std::string_view, FaultCount> Names = {"cut_primary",     "cut_primary_with_proxy",
                                                            "cut_zone",        "cut_proxy",
                                                            "cut_one_way",     "cut_store",
                                                            "replica_lag",     "duplicate_answers",
                                                            "crossed_answers", "late_messages",
                                                            "proxy_death",     "death_in_transaction",
                                                            "pause",           "store_outage",
                                                            "store_slow",      "store_answer_lost",
                                                            "settings_edit",   "settings_rivals",
                                                            "rival_promotion", "drain_proxy",
                                                            "drain_target",    "primary_down",
                                                            "replica_down"};

constexpr int EditsInARow = 4;
constexpr Duration EditGap = 120ms;
constexpr Duration RestartLow = 200ms;
constexpr Duration RestartHigh = 4s;

} // namespace

std::string_view toString(Fault fault) { return Names[static_cast<std::size_t>(fault)]; }

void Faults::inject(Fault fault, Duration time) {
  World.trace("FAULT " + std::string(toString(fault)) + " for " + std::to_string(time.count() / 1000) +
              " ms");
  count("fault." + std::string(toString(fault)));
  switch (fault) {
  case Fault::CutPrimary:
  case Fault::CutPrimaryWithProxy:
  case Fault::CutZone:
  case Fault::CutProxy:
  case Fault::CutOneWay:
  case Fault::CutStore:
    return cutNetwork(fault, time);
  case Fault::ReplicaLag:
  case Fault::DuplicateAnswers:
  case Fault::CrossedAnswers:
  case Fault::LateMessages:
    return disturbLinks(fault, time);
  case Fault::ProxyDeath:
  case Fault::DeathInTransaction:
  case Fault::Pause:
  case Fault::DrainProxy:
    return disturbProxy(fault, time);
  case Fault::StoreOutage:
  case Fault::StoreSlow:
  case Fault::StoreAnswerLost:
    return disturbStore(fault, time);
  case Fault::SettingsEdit:
    // An operator's script makes several changes in a row.
    for (int n = 0; n < EditsInARow; ++n)
      later(EditGap * n, [this] { settingsSet(); });
    return;
  case Fault::SettingsRivals:
    settingsSet();
    settingsSet();
    return rivalEdit();
  case Fault::RivalPromotion:
    return rivalPromotion();
  case Fault::DrainTarget:
  case Fault::PrimaryDown:
  case Fault::ReplicaDown:
    return disturbTarget(fault, time);
  }
}

void Faults::later(Duration time, std::function<void()> undo) {
  World.Queue.after(time, [this, epoch = Epoch, undo = std::move(undo)] {
    if (epoch == Epoch)
      undo();
  });
}

void Faults::cut(const std::vector<Endpoint> &a, Duration time, bool oneWay) {
  std::vector<Endpoint> rest;
  for (Endpoint it = 0; it < World.Network.size(); ++it)
    if (std::find(a.begin(), a.end(), it) == a.end())
      rest.push_back(it);
  std::string names;
  for (auto it : a)
    names += " " + World.Network.name(it);
  World.trace("cut off:" + names);
  bool inbound = oneWay && World.Random.chance(0.5);
  auto id = inbound ? World.Network.cut(rest, a, true) : World.Network.cut(a, rest, oneWay);
  later(time, [this, id, names] {
    World.trace("healed:" + names);
    World.Network.heal(id);
  });
}

FakeGroup &Faults::anyGroup() { return *World.Groups[World.Random.below(World.Groups.size())]; }

FakeProxy *Faults::anyProxy(bool running) {
  std::vector<FakeProxy *> out;
  for (const auto &it : World.Proxies)
    if (it->running() == running)
      out.push_back(it.get());
  return out.empty() ? nullptr : out[World.Random.below(out.size())];
}

FakeServer *Faults::anyReplica(const FakeGroup &group) {
  std::vector<FakeServer *> out;
  for (const auto &it : group.servers())
    if (!it->isPrimary())
      out.push_back(it.get());
  return out.empty() ? nullptr : out[World.Random.below(out.size())];
}

void Faults::cutNetwork(Fault fault, Duration time) {
  auto *primary = anyGroup().primary();
  auto *proxy = anyProxy(true);
  switch (fault) {
  case Fault::CutPrimary:
    if (primary != nullptr)
      cut({primary->place()}, time);
    return;
  case Fault::CutPrimaryWithProxy:
    if (primary != nullptr && proxy != nullptr)
      cut({primary->place(), proxy->place()}, time);
    return;
  case Fault::CutZone: {
    const auto &zone = World.Plan.Places[World.Random.below(World.Plan.Places.size())].AvailabilityZone;
    std::vector<Endpoint> inside;
    for (Endpoint it = 0; it < World.Network.size(); ++it)
      if (World.Network.place(it).AvailabilityZone == zone)
        inside.push_back(it);
    return cut(inside, time);
  }
  case Fault::CutProxy:
    if (proxy != nullptr)
      cut({proxy->place()}, time);
    return;
  case Fault::CutOneWay:
    cut({static_cast<Endpoint>(World.Random.below(World.Network.size()))}, time, true);
    return;
  default:
    return cut({World.Store->Where}, time);
  }
}

void Faults::disturbLinks(Fault fault, Duration time) {
  if (fault == Fault::ReplicaLag) {
    auto &group = anyGroup();
    auto n = World.Random.below(group.servers().size());
    group.setLag(n, World.Random.between(20ms, 3s));
    later(time, [&group, n] { group.setLag(n, 0ms); });
  } else if (fault == Fault::DuplicateAnswers) {
    World.Links.DuplicateAnswers = 0.2;
    World.Links.DuplicatePeer = 0.1;
    later(time, [this] { World.Links.DuplicateAnswers = World.Links.DuplicatePeer = 0; });
  } else if (fault == Fault::CrossedAnswers) {
    World.Links.Unordered = true;
    World.Network.ExtraDelay = 30ms;
    later(time, [this] {
      World.Links.Unordered = false;
      World.Network.ExtraDelay = 0ms;
    });
  } else {
    World.Links.Unordered = true;
    World.Network.Loss = 0.01;
    World.Network.ExtraDelay = World.Random.between(50ms, 400ms);
    later(time, [this] {
      World.Links.Unordered = false;
      World.Network.Loss = 0;
      World.Network.ExtraDelay = 0ms;
    });
  }
}

void Faults::disturbStore(Fault fault, Duration time) {
  auto *store = World.Store.get();
  if (fault == Fault::StoreOutage) {
    store->Down = true;
    later(time, [store] { store->Down = false; });
  } else if (fault == Fault::StoreSlow) {
    store->Slow = World.Random.between(100ms, 3s);
    later(time, [store] { store->Slow = 0ms; });
  } else {
    store->LoseAnswer = 0.5;
    later(time, [store] { store->LoseAnswer = 0; });
  }
}

void Faults::disturbProxy(Fault fault, Duration time) {
  auto *proxy = anyProxy(true);
  if (fault == Fault::DeathInTransaction) {
    // The proxy that has most statements running at the servers dies now.
    std::size_t most = 0;
    for (const auto &it : World.Proxies) {
      std::size_t running = 0;
      for (const auto &group : World.Groups)
        for (const auto &server : group->servers())
          running += server->executionsOf(it->index(), it->incarnation());
      if (it->running() && running > most) {
        most = running;
        proxy = it.get();
      }
    }
    if (most > 0)
      count("held.death_with_statement_running");
  }
  if (proxy == nullptr)
    return;
  auto restart = [this, proxy] {
    later(World.Random.between(RestartLow, RestartHigh), [proxy] { proxy->start(); });
  };
  if (fault == Fault::Pause) {
    proxy->pause(time);
  } else if (fault == Fault::DrainProxy) {
    World.Store->setVm(proxy->config().Node, true);
    proxy->shutdown();
    // The platform ends a VM that does not stop by itself.
    later(15s, [proxy, restart, incarnation = proxy->incarnation()] {
      if (proxy->incarnation() != incarnation)
        return;
      proxy->kill();
      restart();
    });
  } else {
    proxy->kill(World.Random.chance(0.5));
    restart();
  }
}

void Faults::disturbTarget(Fault fault, Duration time) {
  auto &group = anyGroup();
  auto *replica = anyReplica(group);
  auto *server = fault == Fault::PrimaryDown ? group.primary() : replica;
  if (server == nullptr)
    return;
  if (fault == Fault::DrainTarget) {
    auto name = server->name();
    World.listLeaving(name, true);
    later(time + 4s, [this, name] { World.listLeaving(name, false); });
  } else {
    World.trace(server->name().str() + " stops");
    server->setDown(true);
    later(time, [this, server] {
      World.trace(server->name().str() + " starts");
      server->setDown(false);
    });
  }
}

void Faults::settingsSet() {
  auto *proxy = anyProxy(true);
  if (proxy == nullptr)
    return;
  editSettings(*proxy, proxy->revision(), "edit-" + std::to_string(++NextChange));
}

void Faults::editSettings(FakeProxy &proxy, std::uint64_t base, const std::string &changeId) {
  nlohmann::json body = {
      {"revision", base},     {"change_id", changeId},
      {"author", "operator"}, {"time", "2026-12-04T00:00:00Z"},
      {"why", "soak"},        {"path", "/" + World.Plan.Deployment + "/" + World.Plan.Service},
      {"key", "read.wait"},   {"value", std::to_string(20 + World.Random.below(30)) + "ms"}};
  auto *by = &proxy;
  proxy.admin(
      "settings.set", body.dump(),
      [this, by](const AdminReply &reply) {
        World.trace("settings.set answered " + std::to_string(reply.HttpStatus) + " " + reply.Body);
        count("settings.status_" + std::to_string(reply.HttpStatus));
        if (reply.HttpStatus != 200)
          return;
        auto json = nlohmann::json::parse(reply.Body, nullptr, false);
        if (json.is_object() && json.contains("revision")) {
          count("settings.accepted");
          Settings.accepted(json["revision"].get<std::uint64_t>(), *by);
        }
      },
      [this] { count("settings.answer_lost"); });
}

void Faults::rivalEdit() {
  // An operator's script edits the object with the right version, but without this fleet's change id.
  auto object = World.Store->read("settings/tree");
  auto json = nlohmann::json::parse(object.Value, nullptr, false);
  if (!json.is_object() || World.Store->Down)
    return;
  json["revision"] = json["revision"].get<std::uint64_t>() + 1;
  json["change_id"] = "rival-" + std::to_string(++NextChange);
  json["author"] = "rival";
  World.Store->write({"settings/tree", object.Version, json.dump()});
  count("held.rival_settings_edit");
}

void Faults::rivalPromotion() {
  // A rival orders the next term of a group and is not heard of again.
  auto &group = anyGroup();
  auto key = "groups/" + group.Description.Database.str();
  auto object = World.Store->read(key);
  auto parsed = parseGroup(object.Value);
  if (!parsed || World.Store->Down)
    return;
  ++parsed->Term;
  parsed->State = Group::Phase::Ordered;
  parsed->Orderer = NodeId("rival");
  parsed->ChangeId = "rival-" + std::to_string(++NextChange);
  World.Store->write({key, object.Version, formatGroup(*parsed)});
  World.trace("a rival orders term " + std::to_string(parsed->Term) + " of " + parsed->Database.str());
  count("held.rival_order");
  if (!World.Random.chance(0.5))
    return;
  // It goes as far as raising the term on one server.
  auto &server = *group.servers()[World.Random.below(group.servers().size())];
  server.control({CallId{}, server.name(), 1s, RaiseTerm{parsed->Term}}, [](const auto &) {});
}

void Faults::healAll() {
  World.trace("all faults are healed");
  ++Epoch;
  World.Network.healAll();
  World.Network.Loss = 0;
  World.Network.ExtraDelay = 0ms;
  World.Links = {};
  World.Store->Down = false;
  World.Store->Slow = 0ms;
  World.Store->LoseAnswer = 0;
  for (const auto &group : World.Groups)
    for (std::size_t n = 0; n < group->servers().size(); ++n) {
      auto &server = *group->servers()[n];
      group->setLag(n, 0ms);
      server.setDown(false);
      World.listLeaving(server.name(), false);
    }
  for (const auto &it : World.Proxies) {
    it->wake();
    if (it->leaving())
      it->kill();
    it->start();
  }
}

} // namespace rosemaryhinge::soak

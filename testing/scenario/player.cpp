// Carrying out of the steps of a scenario.

#include "scenario/player.h"

#include "soak/liveness.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rosemaryhinge::scenario {

using fakes::Endpoint;
using fakes::FakeProxy;
using fakes::FakeServer;

namespace {

constexpr Duration StartUp = 4s;
constexpr Duration Poll = 1ms;
const std::string Empty;

fakes::FleetOptions fleetOptions(const Scenario &script, std::uint64_t seed) {
  fakes::FleetOptions out;
  out.Seed = seed;
  out.Deployment = script.Deployment;
  out.Nodes = script.Nodes;
  out.Databases = script.Databases;
  return out;
}

Duration milliseconds(const std::string &text, Duration otherwise) {
  return text.empty() ? otherwise : Duration(std::chrono::milliseconds(std::stoll(text)));
}

} // namespace

Player::Player(const Scenario &script, std::uint64_t seed, bool trace)
    : Script(script), World(fleetOptions(script, seed)), Checks(World), Injector(World, Checks.Settings),
      Trace(World) {
  World.Observers.push_back(&Counted);
  if (trace) {
    World.Trace = [](const std::string &line) { std::printf("%s\n", line.c_str()); };
    World.Observers.push_back(&Trace);
  }
}

std::vector<std::string> Player::play() {
  Begin = World.Queue.now();
  World.start();
  World.runFor(StartUp);
  for (std::size_t n = 0; n < Script.Callers; ++n) {
    fakes::CallerProfile profile;
    profile.Database = World.Plan.Groups[n % World.Plan.Groups.size()].Database;
    profile.Think = Script.Think;
    World.addCaller(profile).start();
  }
  for (const auto &it : Script.Steps)
    run(it);
  Injector.healAll();
  World.runFor(Script.Settling);
  for (const auto &it : World.Callers)
    it->stop();
  World.runFor(4s);
  auto violations = soak::checkLiveness(World);
  for (auto *it : Checks.all())
    it->atEnd();
  for (const auto &it : Checks.violations())
    violations.push_back(it);
  for (const auto &it : violations)
    Failures.push_back(it.Invariant + ": " + it.Detail);
  if (Script.Callers > 0 && Checks.Lost.acknowledged() == 0)
    Failures.emplace_back("no write was acknowledged in the whole run");
  return Failures;
}

void Player::failed(const Step &step, const std::string &detail) {
  World.trace("FAILED line " + std::to_string(step.Line) + ": " + detail);
  Failures.push_back("line " + std::to_string(step.Line) + ": " + detail);
}

const std::string &Player::field(const Step &step, const std::string &name) {
  auto it = step.Fields.find(name);
  return it == step.Fields.end() ? Empty : it->second;
}

void Player::run(const Step &step) {
  awaitStep(step);
  act(step);
}

void Player::awaitStep(const Step &step) {
  if (step.At)
    World.Queue.runUntil(std::max(World.Queue.now(), Begin + *step.At));
  if (step.When.empty())
    return;
  auto until = World.Queue.now() + step.Within;
  while (!holds(step.When)) {
    if (World.Queue.now() >= until)
      return failed(step, "'" + step.When + "' did not happen in time");
    World.runFor(Poll);
  }
}

bool Player::holds(const std::string &condition) {
  std::istringstream words(condition);
  std::string what;
  std::string subject;
  words >> what >> subject;
  if (what == "ordered" || what == "done") {
    auto group = parseGroup(World.Store->read("groups/" + subject).Value);
    auto wanted = what == "ordered" ? Group::Phase::Ordered : Group::Phase::Done;
    return group && group->State == wanted;
  }
  if (what == "promoted") {
    auto *group = World.group(DatabaseId(subject));
    auto *primary = group == nullptr ? nullptr : group->primary();
    return primary != nullptr && primary->primaryTerm() > group->Description.Term;
  }
  if (what == "answered") {
    auto it = Requests.find(subject);
    return it != Requests.end() && (it->second.Last || it->second.Lost);
  }
  if (what == "running") {
    auto *found = World.proxy(NodeId(subject));
    return found != nullptr && std::any_of(World.Groups.begin(), World.Groups.end(), [&](const auto &group) {
             return std::any_of(group->servers().begin(), group->servers().end(), [&](const auto &it) {
               return it->executionsOf(found->index(), found->incarnation()) > 0;
             });
           });
  }
  return what == "ended" && World.proxy(NodeId(subject)) != nullptr &&
         !World.proxy(NodeId(subject))->running();
}

std::string Player::resolve(const Step &step, const std::string &name) {
  if (auto it = Names.find(name); it != Names.end())
    return it->second;
  auto space = name.find(' ');
  if (space == std::string::npos)
    return name;
  auto what = name.substr(0, space);
  auto subject = name.substr(space + 1);
  if (what == "orderer") {
    auto group = parseGroup(World.Store->read("groups/" + subject).Value);
    return group ? group->Orderer.str() : "";
  }
  auto *group = World.group(DatabaseId(subject));
  if (group == nullptr) {
    failed(step, "unknown database " + subject);
    return "";
  }
  for (const auto &it : group->servers())
    if (it->isPrimary() == (what == "primary") && (what != "primary" || it.get() == group->primary()))
      return it->name().str();
  return "";
}

Endpoint Player::place(const Step &step, const std::string &name) {
  auto plain = resolve(step, name);
  for (Endpoint it = 0; it < World.Network.size(); ++it)
    if (World.Network.name(it) == plain)
      return it;
  failed(step, "unknown machine '" + name + "'");
  return World.Store->Where;
}

FakeProxy *Player::proxy(const Step &step, const std::string &name) {
  auto *out = World.proxy(NodeId(resolve(step, name)));
  if (out == nullptr)
    failed(step, "unknown proxy '" + name + "'");
  return out;
}

FakeServer *Player::server(const Step &step, const std::string &name) {
  auto *out = World.server(TargetId(resolve(step, name)));
  if (out == nullptr)
    failed(step, "unknown server '" + name + "'");
  return out;
}

void Player::act(const Step &step) {
  const auto &what = step.Action;
  World.trace("STEP line " + std::to_string(step.Line) + ": " + what);
  const auto &subject = step.Subjects.empty() ? Empty : step.Subjects.front();
  if (const auto &as = field(step, "as"); !as.empty())
    Names[as] = resolve(step, subject);
  if (what == "cut") {
    cut(step);
  } else if (what == "heal") {
    World.Network.healAll();
  } else if (what == "pause" || what == "kill" || what == "start" || what == "shutdown") {
    actOnProxy(step);
  } else if (what == "store") {
    actOnStore(subject);
  } else if (what == "links") {
    actOnLinks(subject);
  } else if (what == "settings_set") {
    setSettings(step);
  } else if (what == "rival_order") {
    orderByRival(step);
  } else if (what == "write" || what == "read" || what == "begin") {
    beginRequest(step);
  } else if (what == "finish") {
    finishRequest(step);
  } else if (what == "expect") {
    expect(step);
  } else if (what == "rival_edit") {
    Injector.inject(soak::Fault::SettingsRivals, 1s);
  } else if (auto *target = server(step, subject); target != nullptr) {
    if (what == "lag") {
      auto *group = World.group(DatabaseId(target->name().str().substr(0, target->name().str().find('-'))));
      for (std::size_t n = 0; n < group->servers().size(); ++n)
        if (group->servers()[n].get() == target)
          group->setLag(n, milliseconds(field(step, "ms"), 1s));
    } else if (what == "down" || what == "up") {
      target->setDown(what == "down");
    } else {
      World.listLeaving(target->name(), what == "leaving");
    }
  }
}

void Player::cut(const Step &step) {
  std::vector<Endpoint> inside;
  for (const auto &it : step.Subjects)
    inside.push_back(place(step, it));
  std::vector<Endpoint> rest;
  for (Endpoint it = 0; it < World.Network.size(); ++it)
    if (std::find(inside.begin(), inside.end(), it) == inside.end())
      rest.push_back(it);
  if (const auto &from = field(step, "from"); !from.empty())
    rest = {place(step, from)};
  World.Network.cut(inside, rest, field(step, "one_way") == "true");
}

void Player::actOnProxy(const Step &step) {
  auto *target = proxy(step, step.Subjects.empty() ? "" : step.Subjects.front());
  if (target == nullptr)
    return;
  if (step.Action == "pause")
    target->pause(milliseconds(field(step, "ms"), 2s));
  else if (step.Action == "kill")
    target->kill();
  else if (step.Action == "start")
    target->start();
  else {
    World.Store->setVm(target->config().Node, true);
    target->shutdown();
  }
}

void Player::actOnStore(const std::string &what) {
  auto &store = *World.Store;
  store.Down = what == "down";
  store.Slow = what == "slow" ? Duration(1500ms) : Duration{};
  store.LoseAnswer = what == "lose_answers" ? 1.0 : 0.0;
}

void Player::actOnLinks(const std::string &what) {
  World.Links = {};
  World.Network.ExtraDelay = 0ms;
  World.Network.Loss = 0;
  if (what == "duplicate") {
    World.Links.DuplicateAnswers = 0.5;
    World.Links.DuplicatePeer = 0.3;
  } else if (what == "crossed" || what == "late") {
    World.Links.Unordered = true;
    World.Network.ExtraDelay = what == "late" ? 300ms : 40ms;
  }
}

void Player::setSettings(const Step &step) {
  auto *by = proxy(step, field(step, "proxy"));
  if (by == nullptr)
    return;
  Injector.editSettings(*by, by->revision(), "scenario-" + std::to_string(++NextTag));
}

void Player::orderByRival(const Step &step) {
  auto key = "groups/" + step.Subjects.front();
  auto object = World.Store->read(key);
  auto group = parseGroup(object.Value);
  if (!group)
    return failed(step, "no group " + step.Subjects.front());
  ++group->Term;
  group->State = Group::Phase::Ordered;
  group->Orderer = NodeId("rival");
  group->ChangeId = "rival";
  World.Store->write({key, object.Version, formatGroup(*group)});
}

void Player::beginRequest(const Step &step) {
  auto name = step.Subjects.empty() ? std::string("r") : step.Subjects.front();
  fakes::Operation op;
  op.Tag = "scenario-" + name;
  op.Database = DatabaseId(field(step, "database").empty() ? "db0" : field(step, "database"));
  op.Session = 1000 + Requests.size();
  op.Key = "key-" + name;
  op.Write = step.Action != "read";
  op.Interactive = step.Action == "begin";
  op.Class = ClassName(field(step, "class").empty() ? "default" : field(step, "class"));
  op.IdempotencyKey = field(step, "key");
  op.StrengthPrimary = op.Class.str() == "fast";
  op.Sleep = milliseconds(field(step, "sleep_ms"), 0ms);
  op.Deadline = milliseconds(field(step, "deadline_ms"), 3s);
  if (const auto &age = field(step, "max_staleness_ms"); !age.empty())
    op.MaxStaleness = milliseconds(age, 0ms);
  Requests[name].What = &World.keep(std::move(op));
  submit(name, step, step.Action == "begin" ? TransactionStep::Begin : TransactionStep::None);
}

void Player::finishRequest(const Step &step) {
  const auto &name = step.Subjects.front();
  const auto &how = field(step, "with");
  submit(name, step,
         how == "rollback"    ? TransactionStep::Rollback
         : how == "statement" ? TransactionStep::Statement
                              : TransactionStep::Commit);
}

void Player::submit(const std::string &name, const Step &step, TransactionStep kind) {
  auto *by = proxy(step, field(step, "proxy").empty() ? "proxy0" : field(step, "proxy"));
  auto &scripted = Requests[name];
  if (by == nullptr || scripted.What == nullptr)
    return failed(step, "request '" + name + "' was not begun");
  const auto &op = *scripted.What;
  CallerRequest request;
  request.Caller = CallerId("scenario");
  request.Database = op.Database;
  request.Class = op.Class;
  request.ReadOnly = !op.Write;
  request.MaxStaleness = op.MaxStaleness;
  request.IdempotencyKey = op.IdempotencyKey;
  request.Step = kind;
  request.Transaction = scripted.Transaction;
  std::string mark = " #" + op.Tag + "/1";
  if (kind == TransactionStep::None || kind == TransactionStep::Statement) {
    if (op.Sleep > 0ms)
      request.Statements.push_back("sleep " + std::to_string(op.Sleep.count() / 1000) + mark);
    request.Statements.push_back((op.Write ? "put " + op.Key + " " + op.Tag : "get " + op.Key) + mark);
  }
  fakes::Submission submission{&op, 1, World.Queue.now(), kind, request.Statements.size(), {}};
  for (auto *it : World.Observers)
    it->onSubmitted(submission);
  scripted.Last.reset();
  scripted.Lost = false;
  by->request(
      submission, std::move(request),
      [this, name, submission](const Answer &answer) {
        auto &it = Requests[name];
        it.Last = answer;
        if (const auto *success = std::get_if<Success>(&answer); success && !success->Transaction.empty())
          it.Transaction = success->Transaction;
        for (auto *observer : World.Observers)
          observer->onAnswered(submission, answer);
      },
      [this, name] { Requests[name].Lost = true; });
}

void Player::expect(const Step &step) {
  for (const auto &[what, wanted] : step.Fields) {
    auto count = [&](const std::string &name) { return std::to_string(Counted.Counts[name]); };
    if (what == "promotions" && count("promotions") != wanted)
      failed(step, "promotions are " + count("promotions") + ", expected " + wanted);
    else if (what == "promotions_at_least" && Counted.Counts["promotions"] < std::stoull(wanted))
      failed(step, "promotions are " + count("promotions") + ", expected at least " + wanted);
    else if (what == "primary_not" && resolve(step, "primary db0") == resolve(step, wanted))
      failed(step, "the primary is still " + wanted);
    else if (what == "primary" && resolve(step, "primary db0") != resolve(step, wanted))
      failed(step, "the primary is " + resolve(step, "primary db0") + ", expected " + wanted);
    else if (what == "revision_at_least") {
      for (const auto &it : World.Proxies)
        if (it->running() && it->revision() < std::stoull(wanted))
          failed(step, it->config().Node.str() + " has revision " + std::to_string(it->revision()));
    } else if (what == "ended" && World.proxy(NodeId(wanted))->running())
      failed(step, wanted + " still runs");
    else if (what == "shutdowns" && std::to_string(Checks.Shutdown.completed()) != wanted)
      failed(step, "graceful shutdowns are " + std::to_string(Checks.Shutdown.completed()) + ", expected " +
                       wanted);
    else if (Requests.count(what) != 0)
      expectRequest(step, what, wanted);
  }
}

void Player::expectRequest(const Step &step, const std::string &name, const std::string &wanted) {
  const auto &it = Requests[name];
  std::string seen = it.Lost ? "lost" : it.Last ? "" : "open";
  if (it.Last) {
    if (std::holds_alternative<Success>(*it.Last)) {
      seen = "success";
    } else {
      const auto &refusal = std::get<Refusal>(*it.Last);
      seen = std::string(toString(refusal.Ran)) + " " + std::string(toString(refusal.Reason));
    }
  }
  // "a|b" allows either; "not_run" alone allows any reason.
  std::istringstream choices(wanted);
  std::string choice;
  while (std::getline(choices, choice, '|'))
    if (seen == choice || seen.starts_with(choice + " "))
      return;
  failed(step, "request " + name + " ended as '" + seen + "', expected '" + wanted + "'");
}

} // namespace rosemaryhinge::scenario

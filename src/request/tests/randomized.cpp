// Injects random faults with fixed seeds into a model of a database group and checks every answer against the
// effects in the model.

#include "request/tests/testproxy.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::test;

namespace {

/// One server. Its log lists the statements that took effect; its log position is the length of the list.
struct ModelServer {
  std::vector<std::string> Log;
  std::map<std::string, MarkerRecord> Markers;
};

struct Violations {
  int FalseNotRun = 0;       ///< Answers not_run for requests that took effect.
  int LostWrites = 0;        ///< Successes for writes that the primary does not hold.
  int DuplicateEffects = 0;  ///< Writes that took effect more than once.
  int WrongAnswerCounts = 0; ///< Requests that got no answer or more than one.
  int Successes = 0;
};

/// Three servers with delayed replication from the primary. Connections break before and after executions,
/// answers are lost, and the primary fails once and is replaced by the most up-to-date replica.
class Model : public TestProxy {
public:
  explicit Model(unsigned seed, rosemaryhinge::Rules rules) : FaultRandom(seed) {
    Rules = rules;
    Policies.Policy.RetryBudget = 1;
  }

  Violations run() {
    for (int it = 0; it < 600; ++it) {
      if (it < 400 && it % 2 == 0)
        ask(nextWrite());
      if (it == 250)
        changePrimary();
      step();
      advance(5ms);
    }
    for (int it = 0; it < 100; ++it) {
      step();
      advance(50ms);
    }
    return checkAnswers();
  }

private:
  CallerRequest nextWrite() {
    auto out = request(++LastId, false);
    out.IdempotencyKey = std::to_string(LastId);
    out.Deadline = Now + 1s;
    return out;
  }
  bool chance(int percent) { return static_cast<int>(FaultRandom() % 100) < percent; }
  int index(const TargetId &target) const { return target.str().back() - '0'; }
  Position end(int at) const { return {Group.Term, Servers[at].Log.size()}; }

  void step() {
    for (auto &it : take<Execute>())
      Runs.push_back(std::move(it));
    for (auto &it : take<ControlCall>())
      PendingCalls.push_back(std::move(it));
    replicate();
    std::erase_if(Runs, [&](const Execute &it) { return chance(40) && (execute(it), true); });
    auto calls = std::exchange(PendingCalls, {});
    for (const auto &it : calls)
      if (chance(50))
        answer(it);
      else
        PendingCalls.push_back(it);
    for (const auto &it : take<Respond>())
      Answers[it.Id.Value].push_back(it.Answer);
  }
  void replicate() {
    const auto &from = Servers[Primary];
    for (int it = 0; it < 3; ++it)
      if (it != Primary && it != Failed && chance(60))
        Servers[it] = from;
  }
  void execute(const Execute &run) {
    const auto target = Slots.targetOf(run.Connection);
    if (!target)
      return;
    if (index(*target) != Primary) {
      finish(run, NotPrimary{Group.Term});
      return;
    }
    if (chance(10)) {
      close(run.Connection);
      return;
    }
    auto result = apply(run);
    if (chance(10))
      close(run.Connection);
    else
      finish(run, std::move(result));
  }
  std::variant<ExecutionDone, ExecutionFailed, MarkerConflict, NotPrimary> apply(const Execute &run) {
    auto &server = Servers[Primary];
    const auto key = run.Statements.at(0);
    if (run.Marker) {
      auto it = server.Markers.find(run.Marker->Key);
      if (it != server.Markers.end() && (it->second.Done || it->second.Attempt >= run.Marker->Attempt)) {
        it->second.At = end(Primary);
        return MarkerConflict{it->second};
      }
      server.Markers[run.Marker->Key] = {true, run.Marker->Attempt, std::vector<StatementResult>(), {}};
    }
    server.Log.push_back(key);
    return ExecutionDone{{}, end(Primary), TargetRole::Primary};
  }
  void answer(const ControlCall &call) {
    const int at = index(call.Target);
    if (at == Failed || chance(10)) {
      reply(call, ControlFailure{ControlError::Timeout, ""});
      return;
    }
    if (const auto *abort = std::get_if<AbortMarker>(&call.Request)) {
      if (at != Primary) {
        reply(call, ControlFailure{ControlError::Refused, ""});
        return;
      }
      auto &server = Servers[at];
      auto &record = server.Markers[abort->Marker.Key];
      if (!record.Done && record.Attempt < abort->Marker.Attempt) {
        record = {false, abort->Marker.Attempt, std::nullopt, {}};
        server.Log.emplace_back("abort");
      }
      record.At = end(at);
      reply(call, record);
      return;
    }
    auto status = statusOf(at == Primary ? 0 : 1, end(at), Group.Term);
    reply(call, status);
  }
  void changePrimary() {
    Failed = Primary;
    Primary = Servers[1].Log.size() >= Servers[2].Log.size() ? 1 : 2;
    const auto start = Servers[Primary].Log.size();
    PendingCalls.clear();
    std::erase_if(Runs, [&](const Execute &it) { return Slots.targetOf(it.Connection) == server(Failed); });
    promote(Primary, 2, start);
  }
  Violations checkAnswers() {
    Violations out;
    std::map<std::string, int> effects;
    for (const auto &it : Servers[Primary].Log)
      ++effects[it];
    for (std::uint64_t id = 1; id <= LastId; ++id) {
      const auto count = effects["statement " + std::to_string(id)];
      const auto &answers = Answers[id];
      out.WrongAnswerCounts += answers.size() == 1 ? 0 : 1;
      out.DuplicateEffects += count > 1 ? 1 : 0;
      for (const auto &it : answers) {
        const auto *refusal = std::get_if<Refusal>(&it);
        out.Successes += refusal == nullptr ? 1 : 0;
        out.LostWrites += refusal == nullptr && count == 0 ? 1 : 0;
        out.FalseNotRun += refusal != nullptr && refusal->Ran == Ran::NotRun && count > 0 ? 1 : 0;
      }
    }
    return out;
  }

  std::mt19937_64 FaultRandom;
  std::array<ModelServer, 3> Servers;
  int Primary = 0;
  int Failed = -1;
  std::uint64_t LastId = 0;
  std::vector<Execute> Runs;
  std::vector<ControlCall> PendingCalls;
  std::map<std::uint64_t, std::vector<Answer>> Answers;
};

constexpr unsigned Seeds = 40;

Violations runAll(const Rules &rules) {
  Violations out;
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    const auto found = Model(seed, rules).run();
    out.FalseNotRun += found.FalseNotRun;
    out.LostWrites += found.LostWrites;
    out.DuplicateEffects += found.DuplicateEffects;
    out.WrongAnswerCounts += found.WrongAnswerCounts;
    out.Successes += found.Successes;
  }
  return out;
}

} // namespace

TEST_CASE("lost answers and a change of primary: no untrue, lost, repeated or missing answer") {
  const auto found = runAll(Rules{});
  CHECK(found.FalseNotRun == 0);
  CHECK(found.LostWrites == 0);
  CHECK(found.DuplicateEffects == 0);
  CHECK(found.WrongAnswerCounts == 0);
  CHECK(found.Successes > static_cast<int>(Seeds) * 100); // Each run sends 200 writes.
}

TEST_CASE("each check detects violations when its rule is disabled") {
  Rules rules;
  SUBCASE("not_run without proof") {
    rules.TrueNotRun = false;
    CHECK(runAll(rules).FalseNotRun > 0);
  }
  SUBCASE("acknowledged without coverage") {
    rules.NoLostWrite = false;
    CHECK(runAll(rules).LostWrites > 0);
  }
  SUBCASE("run again without a marker") {
    rules.AtMostOnce = false;
    CHECK(runAll(rules).DuplicateEffects > 0);
  }
}

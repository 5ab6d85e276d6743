// Plays a scenario with one seed and collects what did not hold.

#pragma once

#include "fakes/fleet.h"
#include "scenario/scenario.h"
#include "soak/checkers.h"
#include "soak/faults.h"
#include "soak/tally.h"
#include "soak/tracer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::scenario {

class Player {
public:
  Player(const Scenario &script, std::uint64_t seed, bool trace);

  /// What did not hold, each with the line of the script or the name of the invariant. Empty if all held.
  [[nodiscard]] std::vector<std::string> play();

private:
  struct Scripted {
    const fakes::Operation *What = nullptr;
    std::optional<Answer> Last;
    bool Lost = false;
    TransactionId Transaction;
  };

  void run(const Step &step);
  void awaitStep(const Step &step);
  void act(const Step &step);
  void actOnProxy(const Step &step);
  void actOnStore(const std::string &what);
  void actOnLinks(const std::string &what);
  void cut(const Step &step);
  void setSettings(const Step &step);
  void orderByRival(const Step &step);
  void beginRequest(const Step &step);
  void finishRequest(const Step &step);
  void submit(const std::string &name, const Step &step, TransactionStep kind);
  void expect(const Step &step);
  void expectRequest(const Step &step, const std::string &name, const std::string &wanted);
  [[nodiscard]] bool holds(const std::string &condition);
  void failed(const Step &step, const std::string &detail);

  /// Name of a machine: plain, or "primary db0", "replica db0", "orderer db0", "holder".
  [[nodiscard]] std::string resolve(const Step &step, const std::string &name);
  [[nodiscard]] fakes::Endpoint place(const Step &step, const std::string &name);
  [[nodiscard]] fakes::FakeProxy *proxy(const Step &step, const std::string &name);
  [[nodiscard]] fakes::FakeServer *server(const Step &step, const std::string &name);
  [[nodiscard]] const std::string &field(const Step &step, const std::string &name);

  const Scenario &Script;
  fakes::Fleet World;
  soak::Checkers Checks;
  soak::Faults Injector;
  soak::Tally Counted;
  soak::Tracer Trace;
  TimePoint Begin;
  std::map<std::string, Scripted> Requests;
  std::map<std::string, std::string> Names; ///< Machines that steps have named with "as".
  std::map<std::string, int> SettingsStatus;
  std::vector<std::string> Failures;
  std::uint64_t NextTag = 0;
};

} // namespace rosemaryhinge::scenario

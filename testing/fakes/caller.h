// A caller with one session: reads and writes its own rows through changing proxies.

#pragma once

#include "fakes/dice.h"
#include "fakes/observer.h"
#include "fakes/operation.h"
#include "protocol/request.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rosemaryhinge::fakes {

class Fleet;
class FakeProxy;

struct CallerProfile {
  DatabaseId Database;
  Duration Think = 100ms; ///< Mean time between operations.
  double WriteShare = 0.4;
  double InteractiveShare = 0.1;
  double StaleShare = 0.1;    ///< Of the reads.
  double KeyedShare = 0.5;    ///< Of the writes: sent with an idempotency key and retried.
  double LongShare = 0.03;    ///< Operations that sleep.
  double FailingShare = 0.02; ///< Operations that hold a refused statement.
  double PrimaryShare = 0.0;  ///< Of the writes: class with strength primary.
  double StickyShare = 0.5;   ///< Operations sent to the proxy of the one before.
  Duration Deadline = 3s;
};

class FakeCaller {
public:
  FakeCaller(Fleet &fleet, std::size_t index, CallerProfile profile, std::uint64_t seed);

  void start();
  /// Begins no further operation.
  void stop() { Stopped = true; }
  [[nodiscard]] bool idle() const { return Current == nullptr; }
  /// Runs one operation outside of the profile.
  void runOnce(bool write);

  std::uint64_t Succeeded = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unanswered = 0;
  std::optional<Answer> Last;

private:
  void think();
  void begin();
  Operation choose();
  void sendStep(TransactionStep step);
  void transmit(FakeProxy &proxy, const Submission &submission, CallerRequest request);
  CallerRequest makeRequest(const Operation &op, TransactionStep step, Submission &submission);
  void answered(std::uint64_t number, const Submission &submission, const Answer &answer);
  void connectionLost(std::uint64_t number);
  void succeeded(const Submission &submission, const Success &success);
  void failed(std::optional<Duration> retryAfter);
  void nextStep(const Success &success);
  void done();
  FakeProxy *choose(bool sticky);

  Fleet &World;
  std::size_t Index;
  CallerProfile Profile;
  Dice Random;
  bool Stopped = false;
  const Operation *Current = nullptr;
  std::uint32_t Try = 0;
  std::uint64_t Number = 0; ///< Of the latest submission of this caller; answers to earlier ones are dropped.
  std::uint64_t NextOperation = 0;
  std::optional<Position> Session;
  std::size_t LastProxy = 0;
  TransactionId Transaction;
  std::size_t StepsLeft = 0;
};

} // namespace rosemaryhinge::fakes

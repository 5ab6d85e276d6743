// What checkers are told about a run: the ground truth at the servers and what callers were told.

#pragma once

#include "fakes/operation.h"
#include "protocol/effect.h"
#include "protocol/event.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge::fakes {

class FakeServer;
class FakeProxy;

/// One record of a server's log.
struct LogEntry {
  Position End;
  Lsn Start = 0;
  bool StartsTerm = false;
  std::string Tag;
  std::uint32_t Try = 0;
  std::vector<std::pair<std::string, std::string>> Writes;
  Marker Key; ///< Empty key: none.
  bool Done = false;
  std::vector<StatementResult> Results;
  TimePoint At;
};

/// One sending of an operation to a proxy.
struct Submission {
  const Operation *What = nullptr;
  std::uint32_t Try = 0;
  TimePoint SentAt;
  TransactionStep Step = TransactionStep::None;
  std::size_t Statements = 0; ///< In this request.
  std::optional<Position> Session;
};

class IObserver {
public:
  virtual ~IObserver() = default;

  virtual void onSubmitted(const Submission & /*submission*/) {}
  /// An answer reached the caller.
  virtual void onAnswered(const Submission & /*submission*/, const Answer & /*answer*/) {}
  virtual void onRequestArrived(const FakeProxy & /*proxy*/, RequestId /*id*/,
                                const Submission & /*submission*/) {}
  virtual void onBeforeEvent(const FakeProxy & /*proxy*/, const Event & /*event*/) {}
  virtual void onEffect(const FakeProxy & /*proxy*/, const Effect & /*effect*/) {}
  virtual void onAfterEvent(const FakeProxy & /*proxy*/) {}
  virtual void onProxyStarted(const FakeProxy & /*proxy*/) {}
  virtual void onProxyEnded(const FakeProxy & /*proxy*/, bool /*graceful*/) {}
  virtual void onCommitted(const FakeServer & /*server*/, const LogEntry & /*entry*/) {}
  virtual void onPromoted(const FakeServer & /*server*/, Term /*term*/) {}
  /// New work reached a server: the first statement of a transaction.
  virtual void onWorkStarted(const FakeServer & /*server*/, std::size_t /*proxy*/) {}
  virtual void onTargetListedLeaving(const TargetId & /*target*/, bool /*leaving*/) {}
  virtual void onConnections(const FakeServer & /*server*/, std::uint32_t /*slot*/, std::size_t /*count*/,
                             std::size_t /*limit*/) {}
  /// A server met statements of one operation inside the transaction of another.
  virtual void onMixedTransaction(const FakeServer & /*server*/, const std::string & /*open*/,
                                  const std::string & /*other*/) {}
};

} // namespace rosemaryhinge::fakes

// Effects: output of the reducer. Adapters carry out effects and report their results as events.

#pragma once

#include "protocol/directory.h"
#include "protocol/link.h"
#include "protocol/peer.h"
#include "protocol/platform.h"
#include "protocol/request.h"
#include "protocol/session.h"
#include "protocol/target.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

struct Respond {
  RequestId Id;
  rosemaryhinge::Answer Answer;
};

struct SendToPeer {
  NodeId To;
  PeerMessage Message;
};
/// Sets the address of a node in the peer adapter.
struct PeerAddress {
  NodeId Node;
  std::string Address;
};
/// Sets the address of a server in the target adapter.
struct TargetAddress {
  TargetId Target;
  DatabaseId Database;
  std::string Address;
};

struct AdminReply {
  std::uint64_t Id = 0;
  int HttpStatus = 200;
  std::string Body; ///< JSON.
};

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };
struct LogField {
  std::string Key;
  std::string Value;
};
struct Log {
  LogLevel Level = LogLevel::Info;
  std::string Message;
  std::vector<LogField> Fields;
};

struct CountRefusal {
  RefusalReason Reason;
};
struct CountRetry {
  RetryReason Reason;
};
struct Count {
  std::string Name; ///< Metric name without prefix, such as "promotions_total".
  double Value = 1;
};
/// A measured duration, for a histogram metric.
struct Observe {
  std::string Name;
  Duration Value{};
};

/// An invariant does not hold. The request is refused; the daemon logs the event trail.
struct InvariantBroken {
  std::string Invariant;
  std::string Detail;
};

/// The last request was answered, all slots are released and no caller's session is open: the process may
/// exit.
struct ShutdownComplete {};

using Effect =
    std::variant<Respond, SendToPeer, PeerAddress, TargetAddress, OpenConnection, CloseConnection, Execute,
                 ControlCall, PlatformCall, AdminReply, Log, CountRefusal, CountRetry, Count, Observe,
                 InvariantBroken, ShutdownComplete, AcceptSession, RefuseSession, AnswerStatement,
                 CloseSession, OpenLink, SendOnLink, CloseLink, DirectoryCall, PromotionCall, StopAccepting>;
using Effects = std::vector<Effect>;

} // namespace rosemaryhinge

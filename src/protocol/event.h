// Events: the only input of the reducer.

#pragma once

#include "protocol/directory.h"
#include "protocol/link.h"
#include "protocol/peer.h"
#include "protocol/platform.h"
#include "protocol/request.h"
#include "protocol/session.h"
#include "protocol/target.h"
#include "protocol/wallreading.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// First event of a proxy. Seed initialises the random generator; Incarnation differs for each start of a
/// node.
struct Started {
  std::uint64_t Seed = 0;
  std::uint64_t Incarnation = 0;
};
struct TimerFired {};
/// Sent by the daemon at startup and once a minute, so that journal records can carry wall clock time.
struct WallClockRead {
  WallClockReading Reading;
};
/// The process was asked to stop gracefully.
struct ShutdownRequested {};

struct RequestArrived {
  CallerRequest Request;
};
/// The caller closed its connection before it received the answer.
struct CallerDisconnected {
  RequestId Id;
};

struct PeerReceived {
  NodeId From;
  PeerMessage Message;
};
/// The connection to a peer failed; messages in flight may be lost.
struct PeerLost {
  NodeId Node;
};

/// A request on the admin port that needs the decision logic. Answered with AdminReply.
struct AdminRequest {
  std::uint64_t Id = 0;
  std::string Command; ///< For instance "settings.set".
  std::string Body;    ///< JSON.
};

using Event = std::variant<Started, TimerFired, ShutdownRequested, RequestArrived, CallerDisconnected,
                           PeerReceived, PeerLost, ConnectionOpened, ConnectionClosed, ExecutionFinished,
                           ControlAnswer, PlatformAnswer, AdminRequest, WallClockRead, SessionOpened,
                           StatementArrived, SessionClosed, LinkOpened, LinkClosed, LinkReplied,
                           DirectoryAnswer, PromotionAnswer, CallerConnected, AcceptingStopped>;

} // namespace rosemaryhinge

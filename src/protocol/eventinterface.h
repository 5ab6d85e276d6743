// Which caller interface each event belongs to. Proxies of the other interface have no module for it.

#pragma once

#include "protocol/event.h"
#include "protocol/nodeconfig.h"

#include <optional>
#include <type_traits>

namespace rosemaryhinge {

template <typename... Ts> struct EventList {
  template <typename T> static constexpr bool Has = (std::is_same_v<T, Ts> || ...);
};

using CommonEvents =
    EventList<Started, TimerFired, ShutdownRequested, PeerReceived, PeerLost, AdminRequest, WallClockRead>;
using RequestEvents = EventList<RequestArrived, CallerDisconnected, ConnectionOpened, ConnectionClosed,
                                ExecutionFinished, ControlAnswer, PlatformAnswer>;
using SessionEvents =
    EventList<CallerConnected, AcceptingStopped, SessionOpened, StatementArrived, SessionClosed, LinkOpened,
              LinkClosed, LinkReplied, DirectoryAnswer, PromotionAnswer>;

/// The interface of an event; std::nullopt for events of both. Does not compile for an event without a list.
template <typename T> [[nodiscard]] constexpr std::optional<CallerInterface> interfaceOf() {
  static_assert(int{CommonEvents::Has<T>} + int{RequestEvents::Has<T>} + int{SessionEvents::Has<T>} == 1,
                "each event has to be in one list");
  if (CommonEvents::Has<T>)
    return std::nullopt;
  return RequestEvents::Has<T> ? CallerInterface::Requests : CallerInterface::Sessions;
}

} // namespace rosemaryhinge

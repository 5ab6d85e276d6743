// Makes the callers' adapter on an HTTP server.

#pragma once

#include "callers/icallers.h"
#include "http/ihttpserver.h"
#include "metrics/imetrics.h"
#include "net/eventsink.h"

#include <memory>

namespace rosemaryhinge {

/// Most requests of callers that may be open at once; beyond it callers get `overloaded`.
inline constexpr std::size_t MaxOpenRequests = 50'000;

/// Seed feeds the numbers of requests and sessions. It must differ at each start, so that a late answer from
/// a peer to a request of the process before never matches one of this process. The sink and the metrics must
/// outlive the adapter.
[[nodiscard]] std::unique_ptr<ICallers> makeCallers(std::unique_ptr<IHttpServer> server, EventSink sink,
                                                    IMetrics &metrics, std::uint64_t seed,
                                                    std::size_t maxOpen = MaxOpenRequests);

} // namespace rosemaryhinge

// Makes the operators' adapter on an HTTP server.

#pragma once

#include "admin/iadmin.h"
#include "http/ihttpserver.h"
#include "metrics/metrics.h"
#include "net/eventsink.h"

#include <functional>
#include <memory>

namespace rosemaryhinge {

/// Most commands that may wait for their reply at once.
inline constexpr std::size_t MaxOpenCommands = 256;

/// Ready tells whether callers may be sent here. The sink and the metrics must outlive the adapter.
/// The server's handle timeout bounds how long a command may take.
[[nodiscard]] std::unique_ptr<IAdmin> makeAdmin(std::unique_ptr<IHttpServer> server, EventSink sink,
                                                Metrics &metrics, std::function<bool()> ready);

} // namespace rosemaryhinge

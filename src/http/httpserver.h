// Makes the RESTinio server behind IHttpServer.

#pragma once

#include "http/ihttpserver.h"
#include "metrics/imetrics.h"

#include <asio/io_context.hpp>
#include <memory>

namespace rosemaryhinge {

/// The loop and the metrics must outlive the server.
[[nodiscard]] std::unique_ptr<IHttpServer> makeHttpServer(asio::io_context &io, IMetrics &metrics,
                                                          HttpOptions options);

} // namespace rosemaryhinge

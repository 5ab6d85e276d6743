// Makes the adapters for callers' sessions and for links to servers, on TCP.

#pragma once

#include "metrics/imetrics.h"
#include "net/address.h"
#include "net/eventsink.h"
#include "wire/icodec.h"
#include "wire/ilinkconnector.h"
#include "wire/isessionlistener.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <memory>

namespace rosemaryhinge {

struct SessionListenerOptions {
  SocketAddress Listen;
  std::size_t MaxSessions = 3'000;
  /// Answers that a caller does not read; beyond it its connection is closed.
  std::size_t MaxUnsent = std::size_t{4} << 20;
};

/// Binds and listens at once; throws std::exception if the address cannot be bound. The loop, the codecs, the
/// sink and the metrics must outlive the adapter.
[[nodiscard]] std::unique_ptr<ISessionListener> makeSessionListener(asio::io_context &io,
                                                                    const SessionListenerOptions &options,
                                                                    const ICodecs &codecs, EventSink sink,
                                                                    IMetrics &metrics);

[[nodiscard]] std::unique_ptr<ILinkConnector> makeLinkConnector(asio::io_context &io, const ICodecs &codecs,
                                                                EventSink sink, IMetrics &metrics);

} // namespace rosemaryhinge

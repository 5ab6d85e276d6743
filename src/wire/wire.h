// Makes the adapters for callers' sessions and for links to servers, on TCP.

#pragma once

#include "metrics/imetrics.h"
#include "net/address.h"
#include "net/eventsink.h"
#include "wire/callerlimits.h"
#include "wire/icodec.h"
#include "wire/ilinkconnector.h"
#include "wire/isessionlistener.h"

#include <asio/io_context.hpp>
#include <memory>

namespace rosemaryhinge {

struct SessionListenerOptions {
  SocketAddress Listen;
  CallerLimits Limits = {};
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

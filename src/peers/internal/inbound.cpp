// Receiving from one peer.

#include "peers/internal/inbound.h"

#include <cstring>

namespace rosemaryhinge::detail {

Inbound::Inbound(asio::ip::tcp::socket socket, const PeerOptions &options, IMetrics &metrics,
                 OnEnvelope onEnvelope, OnEnd onEnd)
    : Socket(std::move(socket)), Options(options), Metrics(metrics), Deliver(std::move(onEnvelope)),
      Ended(std::move(onEnd)) {}

void Inbound::start() {
  LastFrame = Clock::now();
  read();
}

void Inbound::check(Clock::time_point now) {
  if (!Buffer.empty() && now - PartialSince > Options.FrameTimeout) {
    drop("slow_sender");
    end();
  } else if (now - LastFrame > Options.IdleTimeout) {
    end();
  }
}

void Inbound::stop() {
  Stopped = true;
  std::error_code ignored;
  Socket.close(ignored);
}

void Inbound::read() {
  Socket.async_read_some(asio::buffer(Chunk),
                         [self = shared_from_this()](std::error_code ec, std::size_t size) {
                           if (self->Stopped)
                             return;
                           if (ec) {
                             if (!self->Buffer.empty())
                               self->drop("half_frame");
                             self->end();
                             return;
                           }
                           if (self->Buffer.empty())
                             self->PartialSince = Clock::now();
                           self->Buffer.append(self->Chunk.data(), size);
                           if (self->take())
                             self->read();
                           else
                             self->end();
                         });
}

bool Inbound::take() {
  std::string_view rest = Buffer;
  while (rest.size() >= PeerLengthBytes) {
    std::uint32_t size = 0;
    std::memcpy(&size, rest.data(), PeerLengthBytes);
    if (size > MaxPeerFrame) {
      drop(toString(PeerDecodeError::TooLarge));
      return false;
    }
    if (rest.size() - PeerLengthBytes < size)
      break;
    if (!takeFrame(rest.substr(PeerLengthBytes, size)))
      return false;
    rest.remove_prefix(PeerLengthBytes + size);
    LastFrame = PartialSince = Clock::now();
  }
  Buffer.erase(0, Buffer.size() - rest.size());
  return true;
}

bool Inbound::takeFrame(std::string_view frame) {
  auto decoded = decodePeer(frame);
  if (const auto *error = std::get_if<PeerDecodeError>(&decoded)) {
    drop(toString(*error));
    // Peers of a newer release may send what this one does not know. After a malformed frame the rest of
    // the connection cannot be trusted.
    return *error == PeerDecodeError::UnknownMessage || *error == PeerDecodeError::UnknownProtocol;
  }
  auto &envelope = std::get<PeerEnvelope>(decoded);
  if (envelope.To != Options.Self) {
    drop("other_node");
    return true;
  }
  From = envelope.From;
  Deliver(std::move(envelope));
  return true;
}

void Inbound::drop(std::string_view why) {
  std::string name("peer_frames_dropped_total{why=\"");
  Metrics.count(name.append(why).append("\"}"));
}

void Inbound::end() {
  if (Stopped)
    return;
  stop();
  Ended(shared_from_this(), From);
}

} // namespace rosemaryhinge::detail

// Encodes messages between proxies as FlatBuffers frames and decodes them after verification.

#pragma once

#include "protocol/peer.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryhinge {

/// Version of the envelope. A frame with another version is dropped.
inline constexpr std::uint16_t PeerProtocol = 1;
/// Largest frame, without its length. The length is 4 bytes, little-endian, as FlatBuffers has it.
inline constexpr std::size_t MaxPeerFrame = std::size_t{2} << 20;
inline constexpr std::size_t PeerLengthBytes = 4;

/// A message with its sender and the node it is meant for. To lets a node that took over an address drop
/// messages meant for its predecessor.
struct PeerEnvelope {
  NodeId From;
  NodeId To;
  PeerMessage Message;
  std::string FromAddress; ///< Where the sender's listener can be reached; may be empty.
};

enum class PeerDecodeError : std::uint8_t {
  TooLarge,
  Malformed,       ///< Does not verify, or holds a value out of range.
  UnknownProtocol, ///< Envelope of another protocol version.
  UnknownMessage,  ///< Message type of a newer release.
};

/// Name as it stands in metrics and logs.
[[nodiscard]] std::string_view toString(PeerDecodeError error);

/// The frame with its length in front. Empty if it would exceed MaxPeerFrame.
/// The deadline of a forwarded request is not encoded: ForwardRequest::Budget stands for it.
[[nodiscard]] std::string encodePeer(const PeerEnvelope &envelope);

/// Decodes a frame without its length. Decoding allocates no more than a small multiple of the frame's size.
[[nodiscard]] std::variant<PeerEnvelope, PeerDecodeError> decodePeer(std::string_view frame);

} // namespace rosemaryhinge

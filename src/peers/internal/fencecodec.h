// Messages about commit fences to and from FlatBuffers.

#pragma once

#include "peers/internal/framereader.h"
#include "protocol/peer.h"

#include <optional>
#include <peer_generated.h>

namespace rosemaryhinge::detail {

/// Each adds the message to the builder and sets its type.
flatbuffers::Offset<void> encodeFence(flatbuffers::FlatBufferBuilder &builder, const CommitFenceRequest &it,
                                      wire::Message &type);
flatbuffers::Offset<void> encodeFence(flatbuffers::FlatBufferBuilder &builder, const CommitFenceReply &it,
                                      wire::Message &type);
flatbuffers::Offset<void> encodeFence(flatbuffers::FlatBufferBuilder &builder, const CommitFenceEnd &it,
                                      wire::Message &type);

/// None if the message is of another type or lacks what it must have.
[[nodiscard]] std::optional<PeerMessage> decodeFence(const wire::Envelope &envelope, FrameReader &reader);

} // namespace rosemaryhinge::detail

// Messages about quotas to and from FlatBuffers.

#pragma once

#include "peers/internal/framereader.h"
#include "protocol/peer.h"

#include <optional>
#include <peer_generated.h>

namespace rosemaryhinge::detail {

/// Each adds the message to the builder and sets its type.
flatbuffers::Offset<void> encodeQuota(flatbuffers::FlatBufferBuilder &builder, const QuotaRequest &it,
                                      wire::Message &type);
flatbuffers::Offset<void> encodeQuota(flatbuffers::FlatBufferBuilder &builder, const QuotaReply &it,
                                      wire::Message &type);
flatbuffers::Offset<void> encodeQuota(flatbuffers::FlatBufferBuilder &builder, const QuotaHandover &it,
                                      wire::Message &type);

/// None if the message is of another type or holds what it must not.
[[nodiscard]] std::optional<PeerMessage> decodeQuota(const wire::Envelope &envelope, FrameReader &reader);

} // namespace rosemaryhinge::detail

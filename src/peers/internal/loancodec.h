// Messages about lent connections to and from FlatBuffers.

#pragma once

#include "peers/internal/framereader.h"
#include "protocol/peer.h"

#include <optional>
#include <peer_generated.h>

namespace rosemaryhinge::detail {

/// Each adds the message to the builder and sets its type.
using LoanOffset = flatbuffers::Offset<void>;
using LoanBuilder = flatbuffers::FlatBufferBuilder;
LoanOffset encodeLoan(LoanBuilder &builder, const LoanRequest &it, wire::Message &type);
LoanOffset encodeLoan(LoanBuilder &builder, const LoanQueued &it, wire::Message &type);
LoanOffset encodeLoan(LoanBuilder &builder, const LoanGrant &it, wire::Message &type);
LoanOffset encodeLoan(LoanBuilder &builder, const LoanCommands &it, wire::Message &type);
LoanOffset encodeLoan(LoanBuilder &builder, const LoanReply &it, wire::Message &type);
LoanOffset encodeLoan(LoanBuilder &builder, const LoanEnd &it, wire::Message &type);

/// None if the message is of another type or holds what it must not.
[[nodiscard]] std::optional<PeerMessage> decodeLoan(const wire::Envelope &envelope, FrameReader &reader);

} // namespace rosemaryhinge::detail

// Estimated size of a message between proxies on the wire.

#pragma once

#include "protocol/peer.h"

#include <cstddef>

namespace rosemaryhinge::spread {

/// Bytes with the frame, the FlatBuffers tables and the headers of TCP and IP. Texts and numbers count in
/// full; the overhead per table and vector element is that of FlatBuffers.
[[nodiscard]] std::size_t wireSize(const PeerMessage &message);

} // namespace rosemaryhinge::spread

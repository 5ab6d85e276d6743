// Order in which the proxies of an availability zone keep its quotas.

#pragma once

#include <string_view>

namespace rosemaryhinge::detail {

/// Key of the rendezvous order. All proxies must use the same one to agree about the holder.
inline constexpr std::string_view HolderOrderKey = "quota";

} // namespace rosemaryhinge::detail

// Watch of the notices in the store by which a change of primary reaches proxies that its holder does not.

#pragma once

#include "base/time.h"
#include "protocol/context.h"
#include "protocol/directory.h"

#include <optional>
#include <vector>

namespace rosemaryhinge::detail {

class FenceNoticeWatch {
public:
  /// Lists the notices, or watches them, unless a call is outstanding.
  void onTimer(Context &ctx);
  [[nodiscard]] bool owns(const CallId &call) const { return Call == call; }
  /// Returns the notices that an answer to a call of this watch tells.
  std::vector<FenceNotice> onAnswer(Context &ctx, const DirectoryAnswer &event);

private:
  std::optional<CallId> Call;
  std::uint64_t Revision = 0; ///< Up to which the notices are known; 0 if they have to be listed.
  TimePoint NextAt;           ///< No call before.
};

} // namespace rosemaryhinge::detail

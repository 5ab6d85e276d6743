// Replies to operators' commands on settings, as JSON texts.

#include "settings/internal/adminreply.h"

#include "protocol/effect.h"

namespace rosemaryhinge::detail {

using nlohmann::json;

void replyAdmin(Context &ctx, std::uint64_t id, int status, const json &body) {
  ctx.emit(AdminReply{id, status, body.dump(-1, ' ', false, json::error_handler_t::replace)});
}

json errorBody(std::string_view error, std::string message) {
  return {{"error", error}, {"message", std::move(message)}};
}

} // namespace rosemaryhinge::detail

// Calls to the admin port of a proxy.

#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace rosemaryhinge::ctl {

struct HttpReply {
  bool Reached = false;   ///< An answer came.
  bool MaybeSent = false; ///< No answer came, but the command may have been carried out.
  long Status = 0;
  nlohmann::json Body;
  std::string Error;
};

/// Posts the body to http://<admin>/admin/<command>. Shows a line of progress on standard error while it
/// waits.
[[nodiscard]] HttpReply post(const std::string &admin, const std::string &command, const nlohmann::json &body,
                             long timeoutMs);

} // namespace rosemaryhinge::ctl

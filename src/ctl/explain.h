// From the id of a request to its cause, by the log lines of the proxies.

#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::ctl {

using LogFields = std::map<std::string, std::string, std::less<>>;

/// The fields of a log line, in either format. Empty if it is none.
[[nodiscard]] LogFields parseLogLine(std::string_view line);

struct Explanation {
  std::vector<std::string> Request; ///< The lines of the request itself.
  std::vector<std::string> Around;  ///< What touched its service, server or proxy, in order of time.
};

/// Reads all lines. Lines around are those within 5 s before the request's line and 2 s after it.
[[nodiscard]] Explanation explainRequest(std::string_view id, const std::vector<std::istream *> &logs);

} // namespace rosemaryhinge::ctl

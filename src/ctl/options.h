// Command line of rosemaryhingectl.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::ctl {

struct Options {
  std::string Command; ///< Such as "status" or "settings set".
  std::vector<std::string> Arguments;
  std::vector<std::string> Admins; ///< Admin addresses, tried in order.
  bool Json = false;
  std::string File;
  std::string Author;
  std::string Why;
  std::string ChangeId;
  std::string Since;
  std::string Timeout = "10s";
  std::int64_t Revision = -1; ///< -1: the one that is in force at the proxy now.
  std::int64_t From = 0;
  std::int64_t To = -1; ///< -1: the latest.
  bool Wait = false;
  bool DryRun = false;
};

struct ParsedOptions {
  std::optional<Options> Value; ///< Empty if Text is to be shown instead.
  std::string Text;             ///< Help, or what is wrong and what to do.
  bool Help = false;
};

[[nodiscard]] ParsedOptions parseOptions(int argc, const char **argv);

} // namespace rosemaryhinge::ctl

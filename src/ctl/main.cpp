// Entry point of rosemaryhingectl, the operators' tool.

#include "ctl/commands.h"
#include "ctl/options.h"

#include <curl/curl.h>
#include <exception>
#include <iostream>

int main(int argc, const char **argv) {
  using rosemaryhinge::ctl::ExitCode;
  try {
    auto parsed = rosemaryhinge::ctl::parseOptions(argc, argv);
    if (!parsed.Value) {
      (parsed.Help ? std::cout : std::cerr) << parsed.Text;
      return static_cast<int>(parsed.Help ? ExitCode::Done : ExitCode::Usage);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto code = rosemaryhinge::ctl::run(*parsed.Value);
    curl_global_cleanup();
    return static_cast<int>(code);
  } catch (const std::exception &e) {
    std::cerr << "rosemaryhingectl: unexpected answer: " << e.what()
              << ". Repeat with --output json and report it as a bug\n";
    return static_cast<int>(ExitCode::Refused);
  }
}

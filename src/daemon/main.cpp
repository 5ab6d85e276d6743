// rosemaryhinged: the proxy.

#include "daemon/daemon.h"
#include "daemon/internal/reduceradapter.h"
#include "daemon/logger.h"
#include "daemon/options.h"

namespace {

using namespace rosemaryhinge;

int run(const LocalSettings &settings, const std::string &file) {
  Logger logger(settings.LogFormat, settings.LogLevel, settings.Self.Node);
  if (settings.Self.Interface != CallerInterface::Requests) {
    logger.logProcess(
        {LogLevel::Error, "cannot run", {{"why", "interface: this program serves requests only"}}});
    return 1;
  }
  try {
    detail::ReducerAdapter reducer(settings.Self);
    return runDaemon(settings, file, reducer, logger);
  } catch (const std::exception &e) {
    logger.logProcess({LogLevel::Error, "cannot run", {{"why", e.what()}}});
    return 1;
  }
}

} // namespace

int main(int argc, char **argv) { return startDaemon(argc, argv, "rosemaryhinged", run); }

// Command line and start of a daemon.

#pragma once

#include "daemon/localsettings.h"

#include <functional>
#include <string>

namespace rosemaryhinge {

/// Reads the command line and the settings, prints what is asked for, and calls Run with settings that hold.
/// Returns the exit status. Name is that of the program, for messages.
int startDaemon(int argc, char **argv, const std::string &name,
                const std::function<int(const LocalSettings &, const std::string &file)> &run);

} // namespace rosemaryhinge

// The commands of rosemaryhingectl.

#pragma once

#include "ctl/exitcode.h"
#include "ctl/options.h"

namespace rosemaryhinge::ctl {

/// Carries out the command; output goes to standard output, errors and progress to standard error.
[[nodiscard]] ExitCode run(const Options &options);

} // namespace rosemaryhinge::ctl

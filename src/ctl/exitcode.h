// Exit codes of rosemaryhingectl. docs/OPERATIONS.md lists them.

#pragma once

namespace rosemaryhinge::ctl {

enum class ExitCode {
  Done = 0,
  Refused = 1,        ///< The proxy or the check refused the input; findings are shown.
  Usage = 2,          ///< The command line is wrong.
  Incomplete = 3,     ///< Accepted, but not in force everywhere; or not verified.
  Unreachable = 4,    ///< No proxy answered, or the proxies do not reach the store.
  Conflict = 5,       ///< Another operator was first.
  OutcomeUnknown = 6, ///< Whether the change took effect is not known.
};

} // namespace rosemaryhinge::ctl

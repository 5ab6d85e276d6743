// What signals do to the process where neither a shutdown nor a reload is meant.

#pragma once

namespace rosemaryhinge::detail {

/// Ignores the signals that have no meaning here and would end the process at once. SIGPIPE and SIGXFSZ come
/// from writing to a closed connection or past a limit of file sizes, where the write fails anyway.
void ignoreStraySignals();

/// Blocks SIGTERM and SIGHUP for the rest of the process. Called after the last answer: a signal that comes
/// while the process takes itself down would otherwise replace its exit status, and a service manager would
/// report a failure.
void blockSignalsAtEnd();

} // namespace rosemaryhinge::detail

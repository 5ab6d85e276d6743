// What signals do to the process where neither a shutdown nor a reload is meant.

#include "daemon/internal/processsignals.h"

#include <csignal>

namespace rosemaryhinge::detail {

void blockSignalsAtEnd() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

} // namespace rosemaryhinge::detail

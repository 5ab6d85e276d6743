// What signals do to the process where neither a shutdown nor a reload is meant.

#include "daemon/internal/processsignals.h"

#include <csignal>
#include <initializer_list>

namespace rosemaryhinge::detail {

void ignoreStraySignals() {
  for (const int it : {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM})
    std::signal(it, SIG_IGN);
}

void blockSignalsAtEnd() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

} // namespace rosemaryhinge::detail

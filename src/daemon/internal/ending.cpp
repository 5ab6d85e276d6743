// The end of a daemon: why its loop ended, what was outstanding then, and the log line about it.

#include "daemon/internal/ending.h"

#include "daemon/internal/processsignals.h"

#include <chrono>
#include <exception>

namespace rosemaryhinge::detail {

Ending::Ending(const ShutdownSignals &signals, const Adapters &adapters, ILogger &logger)
    : Signals(signals), Out(adapters), Logger(logger) {}

void Ending::run(const std::function<void()> &part) {
  try {
    part();
  } catch (const std::exception &e) {
    Failure = std::string("exception: ") + e.what();
  }
}

bool Ending::drained() const { return Failure.empty() && !Signals.interrupted() && outstanding(Out) == 0; }

const char *Ending::why() const {
  if (!Failure.empty())
    return "failed";
  if (Signals.interrupted())
    return "interrupted";
  return outstanding(Out) == 0 ? "drained" : "answers_not_taken";
}

int Ending::finish() {
  blockSignalsAtEnd();
  Log line{Failure.empty() ? LogLevel::Info : LogLevel::Error, "ended", {{"why", why()}}};
  if (const auto at = Signals.requestedAt()) {
    const auto passed = std::chrono::steady_clock::now() - *at;
    line.Fields.push_back(
        {"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(passed).count())});
  }
  if (const auto n = outstanding(Out); n > 0)
    line.Fields.push_back({"outstanding", std::to_string(n)});
  if (!Failure.empty())
    line.Fields.push_back({"detail", Failure});
  Logger.logProcess(line);
  return Failure.empty() ? 0 : 1;
}

} // namespace rosemaryhinge::detail

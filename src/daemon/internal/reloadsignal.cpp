// SIGHUP: reads the settings file again and reports what it holds.

#include "daemon/internal/reloadsignal.h"

#include <csignal>
#include <utility>

namespace rosemaryhinge::detail {

ReloadSignal::ReloadSignal(asio::io_context &io, const LocalSettings &settings, std::string file,
                           ILogger &logger)
    : Set(io, SIGHUP), Settings(settings), File(std::move(file)), Logger(logger) {
  wait();
}

void ReloadSignal::wait() {
  Set.async_wait([this](std::error_code ec, int) {
    if (ec)
      return;
    reload();
    wait();
  });
}

void ReloadSignal::reload() {
  const auto next = loadLocalSettings(File);
  if (const auto *findings = std::get_if<Diagnostics>(&next)) {
    for (const auto &it : *findings)
      Logger.log({LogLevel::Error, "settings file refused", {{"finding", it.str()}}});
    return;
  }
  const bool same = formatLocalSettings(std::get<LocalSettings>(next)) == formatLocalSettings(Settings);
  Logger.log(
      {LogLevel::Info, "settings file read", {{"change", same ? "none" : "in force after a restart"}}});
}

} // namespace rosemaryhinge::detail

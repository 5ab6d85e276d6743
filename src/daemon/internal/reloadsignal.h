// SIGHUP: reads the settings file again and reports what it holds.
//
// Addresses and names cannot change while the process runs, so a reload puts nothing in force. Without the
// handler SIGHUP would end the process with requests in progress.

#pragma once

#include "daemon/ilogger.h"
#include "daemon/localsettings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <string>

namespace rosemaryhinge::detail {

class ReloadSignal {
public:
  /// Settings are those in force; File is where they were read from. All but File must outlive the object.
  ReloadSignal(asio::io_context &io, const LocalSettings &settings, std::string file, ILogger &logger);

private:
  void wait();
  void reload();

  asio::signal_set Set;
  const LocalSettings &Settings;
  std::string File;
  ILogger &Logger;
};

} // namespace rosemaryhinge::detail

// Wires up a proxy whose callers keep sessions.

#pragma once

#include "daemon/idirectory.h"
#include "daemon/ilogger.h"
#include "daemon/ireducer.h"
#include "daemon/localsettings.h"
#include "metrics/imetrics.h"
#include "wire/icodec.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rosemaryhinge {

using DirectoryFactory = std::function<std::unique_ptr<IDirectory>(asio::io_context &, IMetrics &)>;

/// Runs until a graceful shutdown is complete. SIGTERM or SIGINT starts it; during it SIGTERM changes nothing
/// and SIGINT ends at once. SIGHUP checks the settings file again. Throws std::exception if a listener cannot
/// be bound. Returns the exit status.
int runSessionDaemon(const LocalSettings &settings, const std::string &file, IReducer &reducer,
                     ILogger &logger, const ICodecs &codecs, const DirectoryFactory &makeDirectory);

} // namespace rosemaryhinge

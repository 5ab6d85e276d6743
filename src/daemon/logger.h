// Log lines through log4cxx, as key=value or JSON, at a bounded rate.
//
// Three priorities share the rate limit and the capacity of the pipe behind standard output: info and debug
// lines, warnings and errors, and lines about the process itself. Each priority leaves a part of both to the
// higher ones, so that the line that every statement gets cannot displace a warning.

#pragma once

#include "daemon/ilogger.h"
#include "daemon/localsettings.h"

#include <chrono>
#include <climits>
#include <cstdint>
#include <string>

namespace rosemaryhinge {

/// One line without its end. Time is of the wall clock, in UTC.
[[nodiscard]] std::string formatLog(const Log &entry, LogFormat format,
                                    std::chrono::system_clock::time_point at);

class Logger : public ILogger {
public:
  /// Writes to standard output.
  Logger(LogFormat format, LogLevel level, const NodeId &node);
  /// Logs the number of lines that were left out since it was last logged.
  ~Logger() override;
  Logger(const Logger &) = delete;
  Logger &operator=(const Logger &) = delete;

  /// Lines beyond the rate limit, and those that standard output does not take at once, are left out; their
  /// number is logged once there is room again. Never waits.
  void log(const Log &entry) override;
  void logProcess(const Log &entry) override;

  /// Mean of lines per second, and most info and debug lines at once.
  static constexpr double LinesPerSecond = 200;
  static constexpr double Burst = 1'000;
  /// Further lines at once, for warnings and errors.
  static constexpr double ReservedForWarnings = 200;
  /// Further lines at once, for lines about the process.
  static constexpr double ReservedForProcess = 20;
  /// Bytes asked for as the capacity of a pipe behind standard output, in place of the usual 64 KiB.
  static constexpr int PipeCapacity = 256 * 1024;
  /// Eighths of the pipe that may hold unread bytes when an info or debug line, or a warning or error, is
  /// written. A line does not cross pages of the pipe, so n unread bytes occupy up to 2 n: the shares leave
  /// pages to the higher priorities whatever the length of the lines.
  static constexpr int PipeEighthsForInfo = 2;
  static constexpr int PipeEighthsForWarnings = 3;
  /// Longest line. A pipe that is writable takes this much without blocking.
  static constexpr std::size_t MaxLine = PIPE_BUF - 1;

private:
  enum class Priority : std::uint8_t { Info, Warning, Process };

  void submit(const Log &entry, Priority priority);
  [[nodiscard]] bool admit(Priority priority);
  [[nodiscard]] static bool outputTakesLine(Priority priority);
  void writeSuppressed();
  void write(const Log &entry);

  LogFormat Format;
  LogLevel Level;
  NodeId Node;
  double Tokens; ///< Lines that may be written at once, the reserved ones included.
  std::chrono::steady_clock::time_point RefilledAt;
  std::uint64_t Suppressed = 0; ///< Lines left out and not yet logged as such.
};

} // namespace rosemaryhinge

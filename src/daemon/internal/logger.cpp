// Log lines.

#include "daemon/logger.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <unistd.h>
#include <utility>

namespace rosemaryhinge {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn", "error"};
constexpr std::size_t MaxValue = 1'000;
constexpr double MaxTokens = Logger::Burst + Logger::ReservedForWarnings + Logger::ReservedForProcess;

/// Whether a line can be written without waiting for whoever reads it.
bool outputIsWritable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/// Whether at most the given eighths of the pipe behind standard output hold unread bytes. True for anything
/// but a pipe.
bool outputIsFilledUpTo(int eighths) {
  const int capacity = ::fcntl(STDOUT_FILENO, F_GETPIPE_SZ);
  int unread = 0;
  if (capacity <= 0 || ::ioctl(STDOUT_FILENO, FIONREAD, &unread) != 0)
    return true;
  return unread <= capacity / 8 * eighths;
}

/// Enlarges a pipe behind standard output. Without effect if the system refuses it or it is not a pipe.
void enlargeOutputPipe() {
  if (const int capacity = ::fcntl(STDOUT_FILENO, F_GETPIPE_SZ);
      capacity > 0 && capacity < Logger::PipeCapacity)
    ::fcntl(STDOUT_FILENO, F_SETPIPE_SZ, Logger::PipeCapacity);
}

std::string timestamp(std::chrono::system_clock::time_point at) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(at - seconds).count();
  const auto time = std::chrono::system_clock::to_time_t(seconds);
  std::tm utc{};
  gmtime_r(&time, &utc);
  std::array<char, 40> day{};
  const auto size = std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  const auto fraction = std::to_string(1000 + millis).substr(1);
  return std::string(day.data(), size) + "." + fraction + "Z";
}

/// A value that holds anything but plain characters is quoted, so that a line stays one line.
std::string quoteValue(std::string_view value) {
  const bool plain = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char it) {
    return it > ' ' && it < 0x7f && it != '"' && it != '=' && it != '\\';
  });
  if (plain)
    return std::string(value);
  return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string formatLog(const Log &entry, LogFormat format, std::chrono::system_clock::time_point at) {
  const auto level = LevelNames.at(static_cast<std::size_t>(entry.Level));
  if (format == LogFormat::Json) {
    nlohmann::ordered_json out{{"time", timestamp(at)}, {"level", level}, {"message", entry.Message}};
    for (const auto &it : entry.Fields)
      out[it.Key] = it.Value.substr(0, MaxValue);
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string out =
      "time=" + timestamp(at) + " level=" + std::string(level) + " message=" + quoteValue(entry.Message);
  for (const auto &it : entry.Fields)
    out.append(" ").append(it.Key).append("=").append(
        quoteValue(std::string_view(it.Value).substr(0, MaxValue)));
  return out;
}

Logger::Logger(LogFormat format, LogLevel level, const NodeId &node)
    : Format(format), Level(level), Node(node), Tokens(MaxTokens),
      RefilledAt(std::chrono::steady_clock::now()) {
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out"));
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::getDebug());
  enlargeOutputPipe();
}

Logger::~Logger() { writeSuppressed(); }

void Logger::log(const Log &entry) {
  submit(entry, entry.Level >= LogLevel::Warn ? Priority::Warning : Priority::Info);
}

void Logger::logProcess(const Log &entry) { submit(entry, Priority::Process); }

void Logger::submit(const Log &entry, Priority priority) {
  if (entry.Level < Level)
    return;
  if (!admit(priority) || !outputTakesLine(priority)) {
    ++Suppressed;
    return;
  }
  writeSuppressed();
  if (!outputIsWritable())
    ++Suppressed;
  else
    write(entry);
}

bool Logger::admit(Priority priority) {
  const auto now = std::chrono::steady_clock::now();
  Tokens =
      std::min(MaxTokens, Tokens + std::chrono::duration<double>(now - RefilledAt).count() * LinesPerSecond);
  RefilledAt = now;
  const double reserved = priority == Priority::Info      ? ReservedForWarnings + ReservedForProcess
                          : priority == Priority::Warning ? ReservedForProcess
                                                          : 0;
  if (Tokens < reserved + 1)
    return false;
  Tokens -= 1;
  return true;
}

bool Logger::outputTakesLine(Priority priority) {
  if (!outputIsWritable())
    return false;
  switch (priority) {
  case Priority::Info:
    return outputIsFilledUpTo(PipeEighthsForInfo);
  case Priority::Warning:
    return outputIsFilledUpTo(PipeEighthsForWarnings);
  case Priority::Process:
    break;
  }
  return true;
}

void Logger::writeSuppressed() {
  if (Suppressed > 0 && outputIsWritable())
    write({LogLevel::Warn, "log lines left out", {{"count", std::to_string(std::exchange(Suppressed, 0))}}});
}

void Logger::write(const Log &entry) {
  static const auto Output = log4cxx::Logger::getLogger("rosemaryhinge");
  auto named = entry;
  named.Fields.insert(named.Fields.begin(), {"node", Node.str()});
  const auto now = std::chrono::system_clock::now();
  auto line = formatLog(named, Format, now);
  if (line.size() > MaxLine)
    line =
        formatLog({entry.Level, entry.Message, {{"node", Node.str()}, {"fields", "too long"}}}, Format, now);
  constexpr std::array<int, 4> Levels = {log4cxx::Level::DEBUG_INT, log4cxx::Level::INFO_INT,
                                         log4cxx::Level::WARN_INT, log4cxx::Level::ERROR_INT};
  Output->forcedLog(log4cxx::Level::toLevel(Levels.at(static_cast<std::size_t>(entry.Level))), line);
}

} // namespace rosemaryhinge

// Tests of log lines on a standard output that is slow or full.

#include "daemon/logger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace rosemaryhinge;

namespace {

/// Standard output replaced by a pipe that the test reads, until the end of the scope.
class OutputPipe {
public:
  OutputPipe() : Saved(::dup(STDOUT_FILENO)) {
    REQUIRE(::pipe(Ends.data()) == 0);
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    ::dup2(Ends[1], STDOUT_FILENO);
  }
  ~OutputPipe() {
    ::dup2(Saved, STDOUT_FILENO);
    for (const int it : {Saved, Ends[0], Ends[1]})
      if (it >= 0)
        ::close(it);
  }
  OutputPipe(const OutputPipe &) = delete;
  OutputPipe &operator=(const OutputPipe &) = delete;

  std::string read() {
    std::string out;
    std::array<char, 4096> buf{};
    for (auto n = ::read(Ends[0], buf.data(), buf.size()); n > 0; n = ::read(Ends[0], buf.data(), buf.size()))
      out.append(buf.data(), static_cast<std::size_t>(n));
    return out;
  }

  [[nodiscard]] int readEnd() const { return Ends[0]; }
  /// Makes the former standard output the current one again, which also takes what doctest reports. The pipe
  /// has no writer then.
  void closeWriter() {
    ::dup2(Saved, STDOUT_FILENO);
    ::close(std::exchange(Ends[1], -1));
  }

private:
  int Saved;
  std::array<int, 2> Ends{};
};

Log line(std::size_t size) { return {LogLevel::Info, "test", {{"value", std::string(size, 'x')}}}; }

std::vector<std::string> split(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it);)
    out.push_back(it);
  return out;
}

std::size_t countOf(const std::vector<std::string> &lines, std::string_view part) {
  return static_cast<std::size_t>(std::count_if(
      lines.begin(), lines.end(), [&](const auto &it) { return it.find(part) != std::string::npos; }));
}

/// Sum of the counts of lines that were left out.
std::size_t leftOut(const std::vector<std::string> &lines) {
  constexpr std::string_view Count = " count=";
  std::size_t out = 0;
  for (const auto &it : lines)
    if (it.find("log lines left out") != std::string::npos)
      out += std::stoul(it.substr(it.find(Count) + Count.size()));
  return out;
}

/// Reads a pipe at a bounded rate until it is closed.
class SlowReader {
public:
  SlowReader(int fd, std::size_t bytesPerSecond) : Fd(fd), Step(bytesPerSecond / StepsPerSecond) {
    Thread = std::thread([this] { run(); });
  }
  /// All that was read. The pipe must have no writer any more.
  std::string finish() {
    Thread.join();
    return std::move(In);
  }

private:
  static constexpr std::size_t StepsPerSecond = 100;

  void run() {
    std::string buf(Step, 0);
    for (;;) {
      const auto n = ::read(Fd, buf.data(), buf.size());
      if (n == 0)
        return;
      if (n > 0)
        In.append(buf.data(), static_cast<std::size_t>(n));
      std::this_thread::sleep_for(std::chrono::milliseconds(1'000 / StepsPerSecond));
    }
  }

  int Fd;
  std::size_t Step;
  std::string In;
  std::thread Thread;
};

} // namespace

TEST_CASE("a standard output that nobody reads costs lines and no time") {
  OutputPipe out;
  Logger logger(LogFormat::KeyValue, LogLevel::Info, NodeId("n1"));
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < 900; ++n)
    logger.log(line(500));
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  const auto before = out.read();
  CHECK(before.size() > 10'000);
  CHECK(before.find("log lines left out") == std::string::npos);
  logger.log(line(1));
  CHECK(out.read().find("log lines left out") != std::string::npos);
}

TEST_CASE("a line that a pipe might not take whole is shortened") {
  OutputPipe out;
  Logger logger(LogFormat::Json, LogLevel::Info, NodeId("n1"));
  Log long1 = line(900);
  for (int n = 0; n < 9; ++n)
    long1.Fields.push_back({"more" + std::to_string(n), std::string(900, 'y')});
  logger.log(long1);
  const auto text = out.read();
  CHECK(text.size() <= Logger::MaxLine + 1);
  CHECK(text.find("too long") != std::string::npos);
  CHECK(text.back() == '\n');
}

TEST_CASE("warnings are written while info lines are over the rate limit") {
  OutputPipe out;
  Logger logger(LogFormat::KeyValue, LogLevel::Info, NodeId("n1"));
  std::string text;
  for (int n = 0; n < 3'000; ++n) {
    logger.log(line(10));
    text += out.read();
  }
  for (int n = 0; n < 100; ++n) {
    logger.log({LogLevel::Warn, "warning", {}});
    text += out.read();
  }
  out.closeWriter();
  const auto lines = split(text);
  CHECK(countOf(lines, "message=warning") == 100);
  CHECK(countOf(lines, "message=test") + leftOut(lines) == 3'000);
}

TEST_CASE("warnings are written while info lines have filled a pipe that nobody reads") {
  for (const std::size_t size : {10, 300, 900}) {
    OutputPipe out;
    Logger logger(LogFormat::KeyValue, LogLevel::Info, NodeId("n1"));
    for (int n = 0; n < 700; ++n)
      logger.log(line(size));
    for (int n = 0; n < 20; ++n)
      logger.log({LogLevel::Warn, "warning", {}});
    out.closeWriter();
    CHECK(countOf(split(out.read()), "message=warning") == 20);
  }
}

TEST_CASE("lines that are left out last are counted when the logger ends") {
  OutputPipe out;
  std::optional<Logger> logger(std::in_place, LogFormat::KeyValue, LogLevel::Info, NodeId("n1"));
  std::string text;
  for (int n = 0; n < 3'000; ++n) {
    logger->log(line(10));
    text += out.read();
  }
  logger.reset();
  text += out.read();
  out.closeWriter();
  const auto lines = split(text);
  CHECK(leftOut(lines) > 0);
  CHECK(countOf(lines, "message=test") + leftOut(lines) == 3'000);
}

TEST_CASE("the last lines of a process reach a slow reader under more load than the log takes") {
  constexpr std::size_t BytesPerSecond = 20'000;
  constexpr int Lines = 3'000;
  OutputPipe out;
  std::optional<SlowReader> reader;
  const auto start = std::chrono::steady_clock::now();
  {
    Logger logger(LogFormat::KeyValue, LogLevel::Info, NodeId("n1"));
    reader.emplace(out.readEnd(), BytesPerSecond);
    for (int n = 0; n < Lines; ++n) {
      logger.log(line(300));
      if (n % 100 == 99)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    logger.logProcess({LogLevel::Info, "shutdown requested", {}});
    for (int n = 0; n < 100; ++n)
      logger.log(line(300));
    for (int n = 0; n < 10; ++n)
      logger.log({LogLevel::Warn, "warning", {}});
    logger.logProcess({LogLevel::Info, "ended", {}});
  }
  out.closeWriter();
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  const auto lines = split(reader->finish());
  REQUIRE(!lines.empty());
  CHECK(lines.back().find("message=ended") != std::string::npos);
  CHECK(countOf(lines, "shutdown requested") == 1);
  CHECK(countOf(lines, "message=warning") == 10);
  CHECK(countOf(lines, "message=test") + leftOut(lines) == Lines + 100);
}

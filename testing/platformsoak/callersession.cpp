// A caller's session.

#include "platformsoak/callersession.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <optional>
#include <random>
#include <unistd.h>

namespace rosemaryhinge::platformsoak {

namespace {

/// Of a row, kept for the comparison with what the server gave.
constexpr std::size_t KeptRowBytes = 64;

} // namespace

std::string newRequestId() {
  static std::atomic<std::uint64_t> next{std::random_device{}()};
  std::array<char, 24> out{};
  std::snprintf(out.data(), out.size(), "%016llx",
                static_cast<unsigned long long>(++next * 0x9e3779b97f4a7c15ULL));
  return out.data();
}

std::string CallerSession::open(int port, int proxy, const std::string &database, Millis timeoutMs,
                                const std::string &key) {
  close();
  const int fd = connectTo(port);
  if (fd < 0)
    return "-";
  Proxy = proxy;
  Key = key;
  Socket = std::make_unique<LineSocket>(fd);
  std::string line;
  if (sendAll(fd, "STARTUP " + database + " " + (key.empty() ? Name : key) + "\r\n") &&
      Socket->read(line, timeoutMs) == ReadResult::Line) {
    if (line.starts_with("READY")) {
      OpenedAt = nowMs();
      return "";
    }
    close();
    return takeWord(line) == "ERROR" ? takeWord(line) : "-";
  }
  close();
  return "-";
}

Answer CallerSession::query(Request request) {
  Answer out;
  if (request.Id.empty())
    request.Id = newRequestId();
  request.Session = Name;
  request.Key = Key;
  request.Proxy = Proxy;
  request.OpenedAt = OpenedAt;
  request.FirstByteAt = request.SentAt = nowMs();
  const auto until = request.SentAt + request.DeadlineMs;
  auto result = sendAll(Socket->fd(), "QUERY " + request.Id + " " + request.Text + "\r\n")
                    ? ReadResult::Line
                    : ReadResult::Ended;
  request.SentAt = nowMs();
  // What counts is when the connection ended, not when a slow caller notices it.
  std::optional<Millis> endedAt;
  if (SlowMs > 0 && Socket->waitEnd(SlowMs))
    endedAt = nowMs();
  std::string line;
  while (result == ReadResult::Line && !out.Complete) {
    result = Socket->read(line, std::max<Millis>(0, until - nowMs()));
    if (result != ReadResult::Line)
      break;
    const auto word = takeWord(line);
    if (word == "ROW")
      request.Rows += line.substr(0, KeptRowBytes);
    else if (word == "COMPLETE")
      request.Signature = line;
    else if (word == "ERROR")
      request.Error = takeWord(line);
    else if (word == "READY")
      out.Complete = true;
  }
  if (out.Complete)
    out.State = line.empty() ? 'I' : line.front();
  request.EndedAt = out.Complete ? nowMs() : endedAt.value_or(nowMs());
  request.Ending = out.Complete                     ? Ending::Answered
                   : result == ReadResult::TimedOut ? Ending::GivenUp
                                                    : Ending::Cut;
  out.Error = request.Error;
  if (!out.Complete)
    close();
  Seen.addRequest(std::move(request));
  return out;
}

bool CallerSession::idle(Millis ms) {
  const auto until = nowMs() + ms;
  if (!Socket) {
    sleepMs(ms);
    return false;
  }
  if (Socket->waitReadable(ms)) {
    // The end of the session, or a message with no request outstanding.
    close();
    sleepMs(std::max<Millis>(0, std::min<Millis>(until - nowMs(), 5)));
    return false;
  }
  return true;
}

void CallerSession::close() {
  if (Socket)
    ::close(Socket->fd());
  Socket.reset();
}

} // namespace rosemaryhinge::platformsoak

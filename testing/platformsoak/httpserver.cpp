// A small HTTP/1.1 server on loopback.

#include "platformsoak/httpserver.h"

#include "platformsoak/sockets.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr std::size_t ChunkBytes = 16'384;

/// Reads from the connection until the buffer holds what is wanted.
template <typename Enough> bool fill(int fd, std::string &buf, Enough enough) {
  std::array<char, ChunkBytes> chunk{};
  while (!enough()) {
    const auto n = ::recv(fd, chunk.data(), chunk.size(), 0);
    if (n <= 0)
      return false;
    buf.append(chunk.data(), static_cast<std::size_t>(n));
  }
  return true;
}

void readTarget(HttpRequest &out, const std::string &target) {
  const auto mark = target.find('?');
  out.Path = target.substr(0, mark);
  if (mark == std::string::npos)
    return;
  std::istringstream query(target.substr(mark + 1));
  for (std::string it; std::getline(query, it, '&');)
    out.Query[it.substr(0, it.find('='))] = it.substr(it.find('=') + 1);
}

HttpRequest readHead(const std::string &text) {
  HttpRequest out;
  std::istringstream head(text);
  std::string line;
  std::getline(head, line);
  if (const auto first = words(line); first.size() >= 2) {
    out.Method = first[0];
    readTarget(out, first[1]);
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    const auto value = line.find_first_not_of(' ', colon + 1);
    out.Headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return out;
}

std::optional<HttpRequest> readRequest(int fd, std::string &buf) {
  if (!fill(fd, buf, [&] { return buf.find("\r\n\r\n") != std::string::npos; }))
    return std::nullopt;
  const auto end = buf.find("\r\n\r\n");
  auto out = readHead(buf.substr(0, end));
  buf.erase(0, end + 4);
  const auto length = out.Headers.find("content-length");
  const auto size = length == out.Headers.end() ? std::size_t{0} : std::stoul(length->second);
  if (!fill(fd, buf, [&] { return buf.size() >= size; }))
    return std::nullopt;
  out.Body = buf.substr(0, size);
  buf.erase(0, size);
  return out;
}

std::string format(const HttpReply &reply) {
  std::string out =
      "HTTP/1.1 " + std::to_string(reply.Status) + " Status\r\nContent-Type: application/json\r\n";
  for (const auto &[name, value] : reply.Headers)
    out.append(name).append(": ").append(value).append("\r\n");
  return out.append("Content-Length: ")
      .append(std::to_string(reply.Body.size()))
      .append("\r\n\r\n")
      .append(reply.Body);
}

} // namespace

HttpServer::HttpServer(Handler handler) : Handle(std::move(handler)), Fd(listenOn(0)), Port(portOf(Fd)) {
  std::thread([this] {
    for (int fd = acceptFrom(Fd); fd >= 0; fd = acceptFrom(Fd))
      std::thread([this, fd] { serve(fd); }).detach();
  }).detach();
}

void HttpServer::serve(int fd) {
  std::string buf;
  while (const auto request = readRequest(fd, buf)) {
    const auto reply = Handle(*request);
    if (reply.Status == 0 || !sendAll(fd, format(reply)))
      break;
  }
  ::close(fd);
}

} // namespace rosemaryhinge::platformsoak

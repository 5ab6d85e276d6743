// Blocking sockets on 127.0.0.1, and lines that end with CR LF.

#pragma once

#include "platformsoak/clock.h"

#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::platformsoak {

/// Listens on a port (0: any). Returns -1 on failure.
int listenOn(int port);
int portOf(int fd);
/// Returns -1 on failure. ReceiveBuffer is in bytes; 0 leaves the system's size.
int connectTo(int port, int receiveBuffer = 0);
int acceptFrom(int fd);
bool sendAll(int fd, std::string_view bytes);
/// Whether the other side has closed or reset the connection.
bool peerGone(int fd);
/// Reserves a port below the system's range for outgoing connections and keeps it from other programs.
int reservePort();
/// Frees a reserved port for its user. Does nothing for other ports.
void releasePort(int port);

std::vector<std::string> words(std::string_view text);
/// Takes the first word off the text.
std::string takeWord(std::string &rest);

enum class ReadResult { Line, Ended, TimedOut };

class LineSocket {
public:
  explicit LineSocket(int fd) : Fd(fd) {}
  /// Reads up to CR LF and leaves it out.
  ReadResult read(std::string &line, Millis timeoutMs = -1);
  /// Waits until there is something to read, or the end of the connection.
  [[nodiscard]] bool waitReadable(Millis timeoutMs) const;
  /// Waits until the other side has ended the connection, whatever is left to read. False after the time.
  [[nodiscard]] bool waitEnd(Millis timeoutMs) const;
  [[nodiscard]] int fd() const { return Fd; }

private:
  int Fd;
  std::string Buf;
};

} // namespace rosemaryhinge::platformsoak

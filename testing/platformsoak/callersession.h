// A caller's session: one connection, one request after the other.

#pragma once

#include "platformsoak/observations.h"
#include "platformsoak/sockets.h"

#include <memory>
#include <string>

namespace rosemaryhinge::platformsoak {

struct Answer {
  bool Complete = false; ///< Up to its READY.
  std::string Error;     ///< Code; empty for a success.
  char State = 'I';
};

class CallerSession {
public:
  CallerSession(Observations &seen, std::string name) : Seen(seen), Name(std::move(name)) {}
  ~CallerSession() { close(); }
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  /// Opens a connection and its session. The error's code, "" for success, "-" for none that came.
  /// With an empty key, the session tells its name instead.
  std::string open(int port, int proxy, const std::string &database, Millis timeoutMs,
                   const std::string &key = {});
  /// The fields of the request but its id, times and answer are the caller's to set.
  Answer query(Request request);
  /// Waits for the time. False if the session has ended meanwhile, or has got what it has not asked for.
  bool idle(Millis ms);
  void close();
  [[nodiscard]] bool isOpen() const { return Socket != nullptr; }
  /// A pause before each answer is read.
  void readSlowly(Millis ms) { SlowMs = ms; }
  [[nodiscard]] const std::string &name() const { return Name; }

private:
  Observations &Seen;
  std::string Name, Key;
  std::unique_ptr<LineSocket> Socket;
  int Proxy = 0;
  Millis OpenedAt = 0;
  Millis SlowMs = 0;
};

/// An id that no other request has.
[[nodiscard]] std::string newRequestId();

} // namespace rosemaryhinge::platformsoak

// A timer on CLOCK_BOOTTIME for an Asio loop: after a pause of the machine it fires at once.

#pragma once

#include "base/time.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>

namespace rosemaryhinge {

class BootTimer {
public:
  /// Throws std::system_error if the system gives no timer.
  explicit BootTimer(asio::io_context &io);

  /// Calls the handler once at the time given. A new call replaces the one before.
  void set(TimePoint at, std::function<void()> handler);
  void cancel();

private:
  asio::posix::stream_descriptor Fd;
  std::uint64_t Round = 0; ///< Lets the handler of a replaced timer do nothing.
};

} // namespace rosemaryhinge

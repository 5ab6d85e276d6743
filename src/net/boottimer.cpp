// Boot clock and its timer, through timerfd.

#include "net/boottimer.h"

#include "net/bootclock.h"

#include <algorithm>
#include <ctime>
#include <sys/timerfd.h>
#include <system_error>

namespace rosemaryhinge {

namespace {

constexpr Duration::rep MicrosPerSecond = 1'000'000;
constexpr long NanosPerMicro = 1'000;

} // namespace

TimePoint bootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Duration(now.tv_sec * MicrosPerSecond + now.tv_nsec / NanosPerMicro));
}

BootTimer::BootTimer(asio::io_context &io) : Fd(io) {
  const int fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (fd < 0)
    throw std::system_error(errno, std::generic_category(), "timerfd_create");
  Fd.assign(fd);
}

void BootTimer::set(TimePoint at, std::function<void()> handler) {
  // A time of zero would disarm the timer.
  const auto micros = std::max<Duration::rep>(at.time_since_epoch().count(), 1);
  itimerspec spec{};
  spec.it_value.tv_sec = micros / MicrosPerSecond;
  spec.it_value.tv_nsec = (micros % MicrosPerSecond) * NanosPerMicro;
  if (timerfd_settime(Fd.native_handle(), TFD_TIMER_ABSTIME, &spec, nullptr) != 0)
    throw std::system_error(errno, std::generic_category(), "timerfd_settime");
  const auto round = ++Round;
  Fd.cancel();
  Fd.async_wait(asio::posix::stream_descriptor::wait_read,
                [this, round, handler = std::move(handler)](std::error_code ec) {
                  if (ec || round != Round)
                    return;
                  cancel();
                  handler();
                });
}

void BootTimer::cancel() {
  ++Round;
  const itimerspec off{};
  timerfd_settime(Fd.native_handle(), 0, &off, nullptr);
  std::error_code ignored;
  Fd.cancel(ignored);
}

} // namespace rosemaryhinge

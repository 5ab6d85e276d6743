// Tests of addresses and of the boot timer.

#include "net/address.h"
#include "net/bootclock.h"
#include "net/boottimer.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

TEST_CASE("an address needs a numeric IP and a whole port") {
  CHECK(parseAddress("127.0.0.1:80")->Port == 80);
  CHECK(parseAddress("[::1]:65535")->Ip == "::1");
  for (const auto *it : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8x", "host:80",
                         "::1:80", "[127.0.0.1]:80", "127.0.0.1:-1"})
    CHECK_MESSAGE(!parseAddress(it), it);
}

// Guards against a replaced timer firing as well.
TEST_CASE("a timer fires once, and a replaced one not at all") {
  asio::io_context io;
  BootTimer timer(io);
  int first = 0;
  int second = 0;
  const auto start = bootNow();
  timer.set(start + 5ms, [&] { ++first; });
  timer.set(start + 20ms, [&] {
    ++second;
    CHECK(bootNow() >= start + 20ms);
  });
  io.run_for(100ms);
  CHECK(first == 0);
  CHECK(second == 1);
}

TEST_CASE("a timer in the past fires at once") {
  asio::io_context io;
  BootTimer timer(io);
  int fired = 0;
  timer.set(TimePoint(), [&] { ++fired; });
  io.run_for(50ms);
  CHECK(fired == 1);
}

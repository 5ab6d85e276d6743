// A request that is repeated until it succeeds or its time is over.

#pragma once

#include "load/proxies.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace rosemaryhinge::load {

class PersistentPost : public std::enable_shared_from_this<PersistentPost> {
public:
  using Callback = std::function<void(const Reply &)>;

  PersistentPost(asio::io_context &io, Proxies &to, std::string path, std::string body, Callback done);

  /// Calls back with the first success, or with the last refusal once the time is over.
  void start(std::chrono::milliseconds limit);

private:
  void attempt();

  Proxies &To;
  std::string Path;
  std::string Body;
  Callback Done;
  asio::steady_timer Timer;
  std::chrono::steady_clock::time_point Limit;
};

} // namespace rosemaryhinge::load

// A request that is repeated until it succeeds.

#include "load/persistentpost.h"

#include <utility>

namespace rosemaryhinge::load {

namespace {

constexpr std::chrono::milliseconds AnswerTimeout{10'000};
constexpr std::chrono::milliseconds RetryDelay{250};

} // namespace

PersistentPost::PersistentPost(asio::io_context &io, Proxies &to, std::string path, std::string body,
                               Callback done)
    : To(to), Path(std::move(path)), Body(std::move(body)), Done(std::move(done)), Timer(io) {}

void PersistentPost::start(std::chrono::milliseconds limit) {
  Limit = std::chrono::steady_clock::now() + limit;
  attempt();
}

void PersistentPost::attempt() {
  To.post(Path, Body, AnswerTimeout, [self = shared_from_this()](const Reply &reply) {
    if (reply.Ok || std::chrono::steady_clock::now() > self->Limit)
      return self->Done(reply);
    self->Timer.expires_after(RetryDelay);
    self->Timer.async_wait([self](std::error_code) { self->attempt(); });
  });
}

} // namespace rosemaryhinge::load

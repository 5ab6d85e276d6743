// libcurl's multi interface on Asio.

#include "httpclient/httpclient.h"

#include "httpclient/internal/transfer.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <unordered_map>

namespace rosemaryhinge {

namespace {

using asio::posix::stream_descriptor;

/// A socket of libcurl, which opens and closes it itself.
struct Watched {
  explicit Watched(asio::io_context &io) : Fd(io) {}
  stream_descriptor Fd;
  int What = CURL_POLL_NONE;
  bool Reading = false; ///< A wait for reading is pending.
  bool Writing = false;
  bool Removed = false;
};

class HttpClient : public IHttpClient {
public:
  HttpClient(asio::io_context &io, HttpClientOptions options, IMetrics &metrics)
      : Io(io), Options(std::move(options)), Metrics(metrics), Timer(io) {
    static const CURLcode Global = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(Global);
    Multi = curl_multi_init();
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &HttpClient::onSocket);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &HttpClient::onTimer);
    curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  }

  ~HttpClient() override {
    stop();
    curl_multi_cleanup(Multi);
  }

  void call(HttpCall call, Handler handler) override {
    Metrics.count(Options.MetricPrefix + "_calls_total");
    const auto timeout = call.Timeout;
    auto transfer = std::make_unique<detail::Transfer>(std::move(call), std::move(handler), Options.MaxBody,
                                                       Options.ResponseHeader);
    if (Stopped)
      return;
    if (Running.size() < Options.MaxRunning) {
      start(std::move(transfer));
    } else if (Queue.size() < Options.MaxQueued) {
      Queue.push_back({std::move(transfer), std::chrono::steady_clock::now() + timeout});
    } else {
      Metrics.count(Options.MetricPrefix + "_calls_rejected_total");
      failLater(std::move(transfer), "too many calls are waiting");
    }
  }

  void stop() override {
    Stopped = true;
    Timer.cancel();
    Queue.clear();
    for (const auto &[easy, it] : Running)
      curl_multi_remove_handle(Multi, easy);
    Running.clear();
    for (const auto &[fd, it] : Sockets)
      release(*it);
    Sockets.clear();
  }

private:
  struct Queued {
    std::unique_ptr<detail::Transfer> Transfer;
    std::chrono::steady_clock::time_point Deadline;
  };

  void start(std::unique_ptr<detail::Transfer> transfer) {
    CURL *easy = nullptr;
    if (transfer->prepare(Options.Url, Options.ConnectTimeout))
      easy = transfer->easy();
    if (!easy || curl_multi_add_handle(Multi, easy) != CURLM_OK) {
      failLater(std::move(transfer), "libcurl cannot start the request");
      return;
    }
    Running.emplace(easy, std::move(transfer));
  }

  void failLater(std::unique_ptr<detail::Transfer> transfer, const char *why) {
    asio::post(Io, [this, transfer = std::shared_ptr<detail::Transfer>(std::move(transfer)), why] {
      HttpResult failed;
      failed.Error = why;
      if (!Stopped)
        finish(*transfer, std::move(failed));
    });
  }

  void finish(detail::Transfer &transfer, HttpResult result) {
    if (!result.Answered)
      Metrics.count(Options.MetricPrefix + "_calls_unanswered_total");
    transfer.finish(std::move(result));
  }

  void act(curl_socket_t fd, int what) {
    int running = 0;
    curl_multi_socket_action(Multi, fd, what, &running);
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(Multi, &left)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      const auto code = message->data.result;
      CURL *easy = message->easy_handle;
      const auto node = Running.extract(easy);
      curl_multi_remove_handle(Multi, easy);
      if (!node.empty())
        finish(*node.mapped(), node.mapped()->result(code));
    }
    startQueued();
  }

  void startQueued() {
    const auto now = std::chrono::steady_clock::now();
    while (!Stopped && !Queue.empty() && Running.size() < Options.MaxRunning) {
      auto next = std::move(Queue.front());
      Queue.pop_front();
      if (next.Deadline > now)
        start(std::move(next.Transfer));
      else
        failLater(std::move(next.Transfer), "the call waited too long for its turn");
    }
  }

  static int onTimer(CURLM *, long millis, void *data) {
    auto *self = static_cast<HttpClient *>(data);
    if (self->Stopped)
      return 0;
    self->Timer.cancel();
    if (millis < 0)
      return 0;
    self->Timer.expires_after(std::chrono::milliseconds(millis));
    self->Timer.async_wait([self](std::error_code ec) {
      if (!ec)
        self->act(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }

  static int onSocket(CURL *, curl_socket_t fd, int what, void *data, void *) {
    auto *self = static_cast<HttpClient *>(data);
    if (self->Stopped)
      return 0;
    const auto it = self->Sockets.find(fd);
    if (what == CURL_POLL_REMOVE) {
      if (it != self->Sockets.end()) {
        release(*it->second);
        self->Sockets.erase(it);
      }
      return 0;
    }
    auto &watched = it != self->Sockets.end() ? it->second : self->Sockets[fd];
    if (!watched) {
      watched = std::make_shared<Watched>(self->Io);
      watched->Fd.assign(fd);
    }
    watched->What = what;
    self->wait(watched, fd);
    return 0;
  }

  static void release(Watched &it) {
    it.Removed = true;
    if (it.Fd.is_open())
      it.Fd.release();
  }

  void wait(const std::shared_ptr<Watched> &it, curl_socket_t fd) {
    if ((it->What & CURL_POLL_IN) != 0 && !it->Reading)
      waitFor(it, fd, stream_descriptor::wait_read, it->Reading, CURL_CSELECT_IN);
    if ((it->What & CURL_POLL_OUT) != 0 && !it->Writing)
      waitFor(it, fd, stream_descriptor::wait_write, it->Writing, CURL_CSELECT_OUT);
  }

  void waitFor(const std::shared_ptr<Watched> &it, curl_socket_t fd, stream_descriptor::wait_type type,
               bool &pending, int event) {
    pending = true;
    it->Fd.async_wait(type, [this, it, fd, &pending, event](std::error_code ec) {
      pending = false;
      if (it->Removed)
        return;
      act(fd, ec ? CURL_CSELECT_ERR : event);
      if (!it->Removed)
        wait(it, fd);
    });
  }

  asio::io_context &Io;
  HttpClientOptions Options;
  IMetrics &Metrics;
  asio::steady_timer Timer;
  CURLM *Multi = nullptr;
  std::unordered_map<CURL *, std::unique_ptr<detail::Transfer>> Running;
  std::deque<Queued> Queue;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watched>> Sockets;
  bool Stopped = false;
};

} // namespace

std::unique_ptr<IHttpClient> makeHttpClient(asio::io_context &io, HttpClientOptions options,
                                            IMetrics &metrics) {
  return std::make_unique<HttpClient>(io, std::move(options), metrics);
}

} // namespace rosemaryhinge

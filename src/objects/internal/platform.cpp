// The platform's object API on the HTTP client.

#include "objects/platform.h"

#include "httpclient/httpclient.h"
#include "objects/internal/platformcodec.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

class Platform : public IPlatform {
public:
  Platform(asio::io_context &io, PlatformOptions options, IMetrics &metrics)
      : WatchGrace(options.WatchGrace), Metrics(metrics), Client(makeHttpClient(io,
                                                                                {std::move(options.Url),
                                                                                 "platform",
                                                                                 "x-version",
                                                                                 options.MaxRunning,
                                                                                 options.MaxQueued,
                                                                                 detail::MaxPlatformBody,
                                                                                 {}},
                                                                                metrics)) {}

  void call(const PlatformCall &effect, Handler handler) override {
    const auto request = detail::encodePlatform(effect);
    HttpCall call;
    call.Method = request.Put ? "PUT" : "GET";
    call.Path = request.Path;
    call.Body = request.Body;
    if (request.Put)
      call.Headers = {"If-Version: " + std::to_string(request.IfVersion.value_or(0)),
                      "Content-Type: application/octet-stream"};
    auto timeout = std::chrono::ceil<std::chrono::milliseconds>(effect.Timeout);
    if (std::holds_alternative<WatchObject>(effect.Request))
      timeout += WatchGrace;
    call.Timeout = std::max(timeout, std::chrono::milliseconds(1));
    Client->call(std::move(call), [this, effect, handler = std::move(handler)](const HttpResult &result) {
      PlatformAnswer answer{effect.Call, PlatformFailure{result.Error}};
      if (result.Answered)
        answer.Result = detail::decodePlatform(effect, {result.Status, result.HeaderValue, result.Body});
      if (std::holds_alternative<PlatformFailure>(answer.Result))
        Metrics.count("platform_failures_total");
      handler(std::move(answer));
    });
  }

  void stop() override { Client->stop(); }

private:
  std::chrono::milliseconds WatchGrace;
  IMetrics &Metrics;
  std::unique_ptr<IHttpClient> Client;
};

} // namespace

std::unique_ptr<IPlatform> makePlatform(asio::io_context &io, PlatformOptions options, IMetrics &metrics) {
  return std::make_unique<Platform>(io, std::move(options), metrics);
}

} // namespace rosemaryhinge

// HTTP requests to one server, through libcurl's multi interface on Asio.

#pragma once

#include "metrics/imetrics.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryhinge {

struct HttpCall {
  std::string Method = "GET";
  std::string Path;                 ///< With the query.
  std::vector<std::string> Headers; ///< Whole lines, such as "If-Version: 3".
  std::string Body;                 ///< Sent if the method is not GET.
  std::chrono::milliseconds Timeout{1'000};
};

struct HttpResult {
  bool Answered = false; ///< A whole response came.
  /// Number of connections on which some of the request may have been sent. 0: certainly nothing was sent.
  /// libcurl repeats a request by itself if a kept connection ends without an answer, so an answer to the
  /// repetition says nothing of what became of the first one.
  int Transmissions = 0;
  bool TooLarge = false; ///< The body of the response exceeds MaxBody.
  int Status = 0;
  std::string HeaderValue; ///< Of HttpClientOptions::ResponseHeader; empty if absent.
  std::string Body;
  std::string Error; ///< Why there is no response.
};

struct HttpClientOptions {
  std::string Url;            ///< Without a path, such as http://10.0.0.1:7000.
  std::string MetricPrefix;   ///< Of the counters <prefix>_calls_total and so on.
  std::string ResponseHeader; ///< Name of a response header whose value is kept, in lower case.
  std::size_t MaxRunning = 256;
  std::size_t MaxQueued = 4'096;
  std::size_t MaxBody = std::size_t{2} << 20;
  std::chrono::milliseconds ConnectTimeout{0}; ///< 0: the call's own timeout.
};

class IHttpClient {
public:
  virtual ~IHttpClient() = default;

  using Handler = std::function<void(HttpResult)>;

  /// The handler is called exactly once, later than this call; after stop() not at all.
  virtual void call(HttpCall call, Handler handler) = 0;
  virtual void stop() = 0;
};

/// The loop and the metrics must outlive the client, and the loop may not run after its end.
[[nodiscard]] std::unique_ptr<IHttpClient> makeHttpClient(asio::io_context &io, HttpClientOptions options,
                                                          IMetrics &metrics);

} // namespace rosemaryhinge

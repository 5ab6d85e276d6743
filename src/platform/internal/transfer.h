// One HTTP request through libcurl.

#pragma once

#include "platform/internal/platformcodec.h"
#include "platform/iplatform.h"

#include <array>
#include <curl/curl.h>
#include <memory>
#include <string>

namespace rosemaryhinge::detail {

struct EasyDeleter {
  void operator()(CURL *it) const { curl_easy_cleanup(it); }
};
struct HeadersDeleter {
  void operator()(curl_slist *it) const { curl_slist_free_all(it); }
};

class Transfer {
public:
  Transfer(PlatformCall call, IPlatform::Handler handler)
      : Call(std::move(call)), Handler(std::move(handler)) {}

  /// Prepares the handle. Url is the platform's, without a path.
  [[nodiscard]] bool prepare(const std::string &url, std::chrono::milliseconds timeout);
  [[nodiscard]] CURL *easy() const { return Easy.get(); }
  /// Result after libcurl has finished.
  [[nodiscard]] PlatformAnswer result(CURLcode code);
  [[nodiscard]] const PlatformCall &call() const { return Call; }
  void finish(PlatformAnswer answer) { Handler(std::move(answer)); }

private:
  static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
  static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);

  PlatformCall Call;
  IPlatform::Handler Handler;
  std::unique_ptr<CURL, EasyDeleter> Easy;
  std::unique_ptr<curl_slist, HeadersDeleter> Headers;
  PlatformRequest Request;
  PlatformResponse Response;
  bool TooLarge = false;
  std::array<char, CURL_ERROR_SIZE> Error{};
};

} // namespace rosemaryhinge::detail

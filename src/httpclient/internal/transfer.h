// One HTTP request through libcurl.

#pragma once

#include "httpclient/httpclient.h"

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
  /// \param responseHeader As in HttpClientOptions.
  Transfer(HttpCall call, IHttpClient::Handler handler, std::size_t maxBody, std::string responseHeader)
      : Call(std::move(call)), Handler(std::move(handler)), MaxBody(maxBody),
        ResponseHeader(std::move(responseHeader)) {}

  /// Prepares the handle. Url is without a path.
  [[nodiscard]] bool prepare(const std::string &url, std::chrono::milliseconds connectTimeout);
  [[nodiscard]] CURL *easy() const { return Easy.get(); }
  /// Result after libcurl has finished.
  [[nodiscard]] HttpResult result(CURLcode code);
  [[nodiscard]] const HttpCall &call() const { return Call; }
  void finish(HttpResult result) { Handler(std::move(result)); }

private:
  /// Called on each connection, new or kept, right before the request is sent on it.
  static int onConnectionReady(void *self, char *remote, char *local, int remotePort, int localPort);
  static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
  static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);

  HttpCall Call;
  IHttpClient::Handler Handler;
  std::size_t MaxBody;
  std::string ResponseHeader;
  std::unique_ptr<CURL, EasyDeleter> Easy;
  std::unique_ptr<curl_slist, HeadersDeleter> Headers;
  HttpResult Response;
  bool TooLarge = false;
  std::array<char, CURL_ERROR_SIZE> Error{};
};

} // namespace rosemaryhinge::detail

// One HTTP request through libcurl.

#include "httpclient/internal/transfer.h"

#include <algorithm>
#include <cctype>

namespace rosemaryhinge::detail {

namespace {

std::string_view trim(std::string_view text) {
  const auto from = text.find_first_not_of(" \t\r\n");
  if (from == std::string_view::npos)
    return {};
  return text.substr(from, text.find_last_not_of(" \t\r\n") + 1 - from);
}

} // namespace

bool Transfer::prepare(const std::string &url, std::chrono::milliseconds connectTimeout) {
  Easy.reset(curl_easy_init());
  if (!Easy)
    return false;
  CURL *easy = Easy.get();
  curl_easy_setopt(easy, CURLOPT_URL, (url + Call.Path).c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(Call.Timeout.count()));
  if (connectTimeout.count() > 0)
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, Error.data());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::onConnectionReady);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_slist *headers = nullptr;
  if (Call.Method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, Call.Body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(Call.Body.size()));
    // Without a round trip of its own before the body.
    headers = curl_slist_append(headers, "Expect:");
  }
  for (const auto &it : Call.Headers)
    headers = curl_slist_append(headers, it.c_str());
  Headers.reset(headers);
  if (headers)
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  return true;
}

HttpResult Transfer::result(CURLcode code) {
  if (TooLarge) {
    Response.TooLarge = true;
    Response.Error = "the body exceeds " + std::to_string(MaxBody) + " bytes";
    return std::move(Response);
  }
  if (code != CURLE_OK) {
    Response.Error = Error[0] != '\0' ? Error.data() : curl_easy_strerror(code);
    return std::move(Response);
  }
  long status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &status);
  Response.Status = static_cast<int>(status);
  Response.Answered = true;
  return std::move(Response);
}

int Transfer::onConnectionReady(void *self, char *, char *, int, int) {
  ++static_cast<Transfer *>(self)->Response.Transmissions;
  return CURL_PREREQFUNC_OK;
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self) {
  auto *it = static_cast<Transfer *>(self);
  if (it->Response.Body.size() + size * count > it->MaxBody) {
    it->TooLarge = true;
    return 0; // Ends the transfer.
  }
  it->Response.Body.append(data, size * count);
  return size * count;
}

std::size_t Transfer::onHeader(char *data, std::size_t size, std::size_t count, void *self) {
  auto *it = static_cast<Transfer *>(self);
  const std::string_view line(data, size * count);
  const auto colon = line.find(':');
  const auto same = [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; };
  if (colon != std::string_view::npos && !it->ResponseHeader.empty() &&
      std::equal(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), it->ResponseHeader.begin(),
                 it->ResponseHeader.end(), same))
    it->Response.HeaderValue = trim(line.substr(colon + 1));
  return size * count;
}

} // namespace rosemaryhinge::detail

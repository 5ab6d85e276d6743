// One HTTP request through libcurl.

#include "platform/internal/transfer.h"

#include <algorithm>
#include <cctype>

namespace rosemaryhinge::detail {

namespace {

constexpr std::string_view VersionHeader = "x-version:";

std::string_view trim(std::string_view text) {
  const auto from = text.find_first_not_of(" \t\r\n");
  if (from == std::string_view::npos)
    return {};
  return text.substr(from, text.find_last_not_of(" \t\r\n") + 1 - from);
}

} // namespace

bool Transfer::prepare(const std::string &url, std::chrono::milliseconds timeout) {
  Easy.reset(curl_easy_init());
  if (!Easy)
    return false;
  Request = encodePlatform(Call);
  CURL *easy = Easy.get();
  curl_easy_setopt(easy, CURLOPT_URL, (url + Request.Path).c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, Error.data());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  if (Request.Put) {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(Request.Body.size()));
    const auto header = "If-Version: " + std::to_string(Request.IfVersion.value_or(0));
    Headers.reset(curl_slist_append(nullptr, header.c_str()));
    // Without a round trip of its own before the body.
    curl_slist_append(Headers.get(), "Expect:");
    curl_slist_append(Headers.get(), "Content-Type: application/octet-stream");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, Headers.get());
  }
  return true;
}

PlatformAnswer Transfer::result(CURLcode code) {
  if (TooLarge)
    return {Call.Call, PlatformFailure{"the body exceeds " + std::to_string(MaxPlatformBody) + " bytes"}};
  if (code != CURLE_OK)
    return {Call.Call, PlatformFailure{Error[0] != '\0' ? Error.data() : curl_easy_strerror(code)}};
  long status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &status);
  Response.Status = static_cast<int>(status);
  return {Call.Call, decodePlatform(Call, Response)};
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self) {
  auto *it = static_cast<Transfer *>(self);
  if (it->Response.Body.size() + size * count > MaxPlatformBody) {
    it->TooLarge = true;
    return 0; // Ends the transfer.
  }
  it->Response.Body.append(data, size * count);
  return size * count;
}

std::size_t Transfer::onHeader(char *data, std::size_t size, std::size_t count, void *self) {
  const std::string_view line(data, size * count);
  const auto same = [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == b; };
  if (line.size() > VersionHeader.size() &&
      std::equal(VersionHeader.begin(), VersionHeader.end(), line.begin(),
                 [&](char a, char b) { return same(b, a); }))
    static_cast<Transfer *>(self)->Response.Version = trim(line.substr(VersionHeader.size()));
  return size * count;
}

} // namespace rosemaryhinge::detail

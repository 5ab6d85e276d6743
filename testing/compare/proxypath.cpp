// Path through a proxy.

#include "compare/proxypath.h"

namespace rosemaryhinge::compare {

namespace {

constexpr long TimeoutMs = 10'000;
constexpr long HttpOk = 200;

std::size_t ignoreBody(char *, std::size_t size, std::size_t n, void *) { return size * n; }

} // namespace

ProxyPath::ProxyPath(const std::string &address, const std::string &database)
    : Url("http://" + address + "/v1/db/" + database + "/query"),
      Handle(curl_easy_init(), &curl_easy_cleanup),
      Headers(curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all) {}

bool ProxyPath::read(const std::string &sql) { return post(sql, true); }

bool ProxyPath::write(const std::string &sql) { return post(sql, false); }

bool ProxyPath::post(const std::string &sql, bool readOnly) {
  // The statements of this program hold no character that JSON would escape.
  auto body = R"({"sql":")" + sql + R"(","read_only":)" + (readOnly ? "true" : "false") + "}";
  auto *curl = Handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ignoreBody);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TimeoutMs);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  if (curl_easy_perform(curl) != CURLE_OK)
    return false;
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  return status == HttpOk;
}

} // namespace rosemaryhinge::compare

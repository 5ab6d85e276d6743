// HTTP with libcurl.

#include "ctl/http.h"

#include <chrono>
#include <curl/curl.h>
#include <iostream>
#include <memory>
#include <unistd.h>

namespace rosemaryhinge::ctl {

namespace {

using Clock = std::chrono::steady_clock;

constexpr long ConnectTimeoutMs = 2000;
/// A report of 20,000 records is about 8 MB.
constexpr std::size_t MaxAnswer = 64'000'000;
constexpr auto ProgressAfter = std::chrono::milliseconds(500);

struct Progress {
  std::string Admin;
  std::string Command;
  Clock::time_point Started = Clock::now();
  Clock::time_point Shown = Started;
  bool Any = false;
};

std::size_t onData(char *data, std::size_t size, std::size_t count, void *target) {
  auto &out = *static_cast<std::string *>(target);
  if (out.size() + size * count > MaxAnswer)
    return 0;
  out.append(data, size * count);
  return size * count;
}

int onProgress(void *target, curl_off_t /*downTotal*/, curl_off_t /*down*/, curl_off_t /*upTotal*/,
               curl_off_t /*up*/) {
  auto &it = *static_cast<Progress *>(target);
  auto now = Clock::now();
  if (now - it.Shown < ProgressAfter)
    return 0;
  it.Shown = now;
  it.Any = true;
  auto seconds = std::chrono::duration_cast<std::chrono::milliseconds>(now - it.Started).count() / 1000.0;
  std::cerr << (isatty(STDERR_FILENO) != 0 ? "\r" : "") << it.Command << ": waiting for " << it.Admin << ", "
            << seconds << " s" << (isatty(STDERR_FILENO) != 0 ? "   " : "\n") << std::flush;
  return 0;
}

} // namespace

HttpReply post(const std::string &admin, const std::string &command, const nlohmann::json &body,
               long timeoutMs) {
  HttpReply out;
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(), &curl_easy_cleanup);
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all);
  if (!curl || !headers) {
    out.Error = "cannot set up HTTP";
    return out;
  }
  auto url = "http://" + admin + "/admin/" + command;
  auto text = body.dump();
  std::string answer;
  Progress progress{admin, command};
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(text.size()));
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, text.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, timeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &onData);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl.get(), CURLOPT_XFERINFOFUNCTION, &onProgress);
  curl_easy_setopt(curl.get(), CURLOPT_XFERINFODATA, &progress);
  auto code = curl_easy_perform(curl.get());
  if (progress.Any && isatty(STDERR_FILENO) != 0)
    std::cerr << "\r\x1b[K";
  if (code != CURLE_OK) {
    out.Error = curl_easy_strerror(code);
    out.MaybeSent = code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST;
    return out;
  }
  out.Reached = true;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &out.Status);
  out.Body = nlohmann::json::parse(answer, nullptr, false);
  if (out.Body.is_discarded())
    out.Body = {{"error", "unreadable"},
                {"message", "the answer is not JSON; is " + admin + " an admin port?"}};
  return out;
}

} // namespace rosemaryhinge::ctl

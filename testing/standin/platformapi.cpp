// HTTP face of the platform.

#include "standin/platformapi.h"

#include <algorithm>
#include <asio/steady_timer.hpp>

namespace rosemaryhinge::standin {

namespace {

constexpr std::string_view ObjectPrefix = "/objects/";
constexpr std::uint64_t DefaultWatchMs = 30'000;
constexpr std::uint64_t MaxWatchMs = 120'000;

HttpResponse dropped() {
  HttpResponse out;
  out.Drop = true;
  return out;
}

HttpResponse answer(const StoredObject &object) {
  if (object.Version == 0)
    return {404, "no such object\n", {{"X-Version", "0"}}};
  return {200, object.Value, {{"X-Version", std::to_string(object.Version)}}};
}

} // namespace

bool PlatformApi::owns(const HttpRequest &request) {
  return request.Path.starts_with(ObjectPrefix) || request.Path == "/vms";
}

void PlatformApi::handle(const HttpRequest &request, const HttpReply &reply) {
  if (Faults.Delay.count() == 0)
    return dispatch(request, reply);
  auto timer = std::make_shared<asio::steady_timer>(Io, Faults.Delay);
  timer->async_wait([this, timer, request, reply](std::error_code) { dispatch(request, reply); });
}

void PlatformApi::dispatch(const HttpRequest &request, const HttpReply &reply) {
  if (Faults.Down)
    return reply(dropped());
  if (request.Path == "/vms") {
    ++Store.Counters.Lists;
    return reply({200, Vms.json(VmList::Clock::now()), {{"Content-Type", "application/json"}}});
  }
  auto key = request.Path.substr(ObjectPrefix.size());
  if (key.empty())
    return reply({400, "empty key\n", {}});
  if (request.Method == "GET")
    return get(request, key, reply);
  if (request.Method == "PUT")
    return put(request, key, reply);
  reply({405, "only GET and PUT\n", {}});
}

void PlatformApi::get(const HttpRequest &request, const std::string &key, const HttpReply &reply) {
  auto object = Store.get(key);
  if (!request.Query.contains("watch")) {
    ++Store.Counters.Gets;
    return reply(answer(object));
  }
  ++Store.Counters.Watches;
  auto above = request.number("watch", 0);
  if (object.Version > above)
    return reply(answer(object));
  auto timeout = std::min(request.number("timeout_ms", DefaultWatchMs), MaxWatchMs);
  auto timer = std::make_shared<asio::steady_timer>(Io, std::chrono::milliseconds(timeout));
  auto watch = Store.watch(key, above, [this, timer, reply](const StoredObject &changed) {
    timer->cancel();
    reply(Faults.Down ? dropped() : answer(changed));
  });
  timer->async_wait([this, timer, watch, key, reply](std::error_code ec) {
    if (ec)
      return;
    Store.cancel(watch);
    reply(Faults.Down ? dropped() : answer(Store.get(key)));
  });
}

void PlatformApi::put(const HttpRequest &request, const std::string &key, const HttpReply &reply) {
  ++Store.Counters.Puts;
  auto expected = parseNumber(request.header("if-version").value_or(""));
  if (!expected)
    return reply({400, "If-Version must be a number\n", {}});
  if (request.Body.size() > ObjectStore::MaxValueBytes)
    return reply({413, "value over 1 MB\n", {}});
  auto version = Store.put(key, *expected, request.Body);
  if (!version)
    return reply({409, "version differs\n", {{"X-Version", std::to_string(Store.get(key).Version)}}});
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return reply(dropped());
  }
  reply({200, "", {{"X-Version", std::to_string(*version)}}});
}

} // namespace rosemaryhinge::standin

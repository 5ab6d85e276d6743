// HTTP form of platform calls.

#include "objects/internal/platformcodec.h"

#include "base/overloaded.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace rosemaryhinge::detail {

namespace {

using Json = nlohmann::json;
using Result = decltype(PlatformAnswer::Result);

constexpr std::size_t MaxVms = 100'000;

std::string objectPath(std::string_view key) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string out = "/objects/";
  for (const char it : key) {
    const auto byte = static_cast<unsigned char>(it);
    if (std::isalnum(byte) || std::string_view("-_.~/").find(it) != std::string_view::npos) {
      out += it;
    } else {
      out += '%';
      out += Digits[byte / 16];
      out += Digits[byte % 16];
    }
  }
  return out;
}

std::optional<ObjectVersion> parseVersion(std::string_view text) {
  ObjectVersion out = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

Result unexpected(const PlatformResponse &response) {
  return PlatformFailure{"unexpected HTTP status " + std::to_string(response.Status)};
}

Result decodeObject(const std::string &key, const PlatformResponse &response) {
  if (response.Status == 404)
    return ObjectValue{key, 0, {}};
  if (response.Status != 200)
    return unexpected(response);
  const auto version = parseVersion(response.Version);
  if (!version || *version == 0)
    return PlatformFailure{"X-Version of an object is not a positive number"};
  return ObjectValue{key, *version, response.Body};
}

Result decodePut(const PlatformResponse &response) {
  if (response.Status != 200 && response.Status != 409)
    return unexpected(response);
  const auto version = parseVersion(response.Version);
  if (!version)
    return PlatformFailure{"X-Version is not a number"};
  if (response.Status == 409)
    return PutConflict{*version};
  return PutDone{*version};
}

Result decodeVms(const PlatformResponse &response) {
  if (response.Status != 200)
    return unexpected(response);
  const auto doc = Json::parse(response.Body, nullptr, false);
  if (!doc.is_array() || doc.size() > MaxVms)
    return PlatformFailure{"the list of VMs is not a JSON list"};
  VmList out;
  for (std::size_t n = 0; n < doc.size(); ++n) {
    const auto vm = doc[n].is_object() ? doc[n].value("vm", Json()) : Json();
    const auto leaving = doc[n].is_object() ? doc[n].value("leaving", Json(false)) : Json();
    if (!vm.is_string() || !leaving.is_boolean())
      return PlatformFailure{"the list of VMs: entry " + std::to_string(n) + " is not valid"};
    out.Vms.push_back({NodeId(vm.get<std::string>()), leaving.get<bool>()});
  }
  return out;
}

} // namespace

PlatformRequest encodePlatform(const PlatformCall &call) {
  return std::visit(
      Overloaded{[](const GetObject &it) {
                   return PlatformRequest{false, objectPath(it.Key), {}, {}};
                 },
                 [](const PutObject &it) {
                   return PlatformRequest{true, objectPath(it.Key), it.Value, it.Expected};
                 },
                 [&](const WatchObject &it) {
                   const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(call.Timeout);
                   return PlatformRequest{false,
                                          objectPath(it.Key) + "?watch=" + std::to_string(it.Above) +
                                              "&timeout_ms=" + std::to_string(millis.count()),
                                          {},
                                          {}};
                 },
                 [](const ListVms &) {
                   return PlatformRequest{false, "/vms", {}, {}};
                 }},
      call.Request);
}

Result decodePlatform(const PlatformCall &call, const PlatformResponse &response) {
  return std::visit(Overloaded{[&](const GetObject &it) { return decodeObject(it.Key, response); },
                               [&](const PutObject &) { return decodePut(response); },
                               [&](const WatchObject &it) { return decodeObject(it.Key, response); },
                               [&](const ListVms &) { return decodeVms(response); }},
                    call.Request);
}

} // namespace rosemaryhinge::detail

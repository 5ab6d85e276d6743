// HTTP form of platform calls.

#include "objects/internal/platformcodec.h"

#include "base/overloaded.h"
#include "base/percentencode.h"
#include "base/wholenumber.h"
#include "json/jsonparse.h"
#include "json/jsonpieces.h"

namespace rosemaryhinge::detail {

namespace {

using Result = decltype(PlatformAnswer::Result);

constexpr std::size_t MaxVms = 100'000;

std::string objectPath(std::string_view key) { return "/objects/" + percentEncode(key, "-_.~/"); }

Result unexpected(const PlatformResponse &response) {
  return PlatformFailure{"unexpected HTTP status " + std::to_string(response.Status)};
}

Result decodeObject(const std::string &key, const PlatformResponse &response) {
  if (response.Status == 404)
    return ObjectValue{key, 0, {}};
  if (response.Status != 200)
    return unexpected(response);
  const auto version = parseWholeNumber<ObjectVersion>(response.Version);
  if (!version || *version == 0)
    return PlatformFailure{"X-Version of an object is not a positive number"};
  return ObjectValue{key, *version, response.Body};
}

Result decodePut(const PlatformResponse &response) {
  if (response.Status != 200 && response.Status != 409)
    return unexpected(response);
  const auto version = parseWholeNumber<ObjectVersion>(response.Version);
  if (!version)
    return PlatformFailure{"X-Version is not a number"};
  if (response.Status == 409)
    return PutConflict{*version};
  return PutDone{*version};
}

/// An entry of the list of VMs, or nullopt if it cannot be read.
std::optional<VmEntry> decodeVm(std::string_view text) {
  const auto doc = tryParseJson(text);
  if (!doc.is_object())
    return std::nullopt;
  const auto vm = doc.find("vm");
  const auto leaving = doc.find("leaving");
  if (vm == doc.end() || !vm->is_string() || (leaving != doc.end() && !leaving->is_boolean()))
    return std::nullopt;
  return VmEntry{NodeId(vm->get<std::string>()), leaving != doc.end() && leaving->get<bool>()};
}

Result decodeVms(const PlatformResponse &response) {
  if (response.Status != 200)
    return unexpected(response);
  const auto entries = jsonElements(response.Body);
  if (!entries || entries->size() > MaxVms)
    return PlatformFailure{"the list of VMs is not a JSON list"};
  VmList out;
  for (const auto &it : *entries) {
    if (auto vm = decodeVm(it))
      out.Vms.push_back(std::move(*vm));
    else
      ++out.Unreadable;
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

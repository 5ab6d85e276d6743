// The checks of keys and quotas.

#include "platformsoak/workspacechecks.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace rosemaryhinge::platformsoak {

namespace {

using Verdict = std::function<std::string(const Request &, const Arrival &)>;

/// Violations of the statements of callers, by a function that says what is wrong with one; empty for
/// nothing.
std::vector<Violation> checkEach(const char *rule, std::span<const Request> requests,
                                 std::span<const Arrival> arrivals, const Verdict &wrong) {
  std::map<std::string_view, const Request *> byId;
  for (const auto &it : requests)
    byId[it.Id] = &it;
  std::vector<Violation> out;
  for (const auto &it : arrivals) {
    const auto found = byId.find(it.Id);
    if (found == byId.end())
      continue;
    const auto &request = *found->second;
    if (const auto what = wrong(request, it); !what.empty())
      out.push_back({rule, "request " + it.Id + " (" + request.Host + ", " + request.Text.substr(0, 20) +
                               ") at proxy " + std::to_string(request.Proxy + 1) + ", key '" + request.Key +
                               "', sent at " + std::to_string(request.FirstByteAt) + " ms, reached " +
                               it.Server + " at " + std::to_string(it.At) + " ms " + what});
  }
  return out;
}

double allowedInWindow(const Tenant &it) {
  const double window = static_cast<double>(QuotaWindowMs) / 1'000;
  return (it.RatePerS * window + it.Burst) * (1 + QuotaOvershoot) + QuotaSlack;
}

} // namespace

std::vector<Violation> checkUsers(std::span<const Request> requests, std::span<const Arrival> arrivals,
                                  const Keys &keys) {
  return checkEach("UNASKED", requests, arrivals, [&](const Request &request, const Arrival &it) {
    const auto key = keys.find(request.Key);
    if (!request.Key.empty() && key == keys.end())
      return std::string();
    const std::string_view expected = request.Key.empty() ? AnonymousUser : key->second.Tenant;
    return it.User == expected ? "" : "as " + it.User + " instead of " + std::string(expected);
  });
}

std::vector<Violation> checkUnknownKeys(std::span<const Request> requests, std::span<const Arrival> arrivals,
                                        const Keys &keys) {
  return checkEach("ROUTE", requests, arrivals, [&](const Request &request, const Arrival &it) {
    const bool known = request.Key.empty() || keys.contains(request.Key);
    return known ? "" : "as " + it.User + ", but no configuration has held the key";
  });
}

std::vector<Violation> checkWithdrawnKeys(std::span<const Request> requests,
                                          std::span<const Arrival> arrivals, const Keys &keys) {
  return checkEach("CONFIG", requests, arrivals, [&](const Request &request, const Arrival &) {
    const auto key = keys.find(request.Key);
    if (key == keys.end() || !key->second.WithdrawnAt)
      return std::string();
    const auto late = request.FirstByteAt - *key->second.WithdrawnAt;
    return late <= RevocationMs ? ""
                                : "though it was sent " + std::to_string(late) + " ms after the withdrawal";
  });
}

std::vector<Violation> checkQuotas(std::span<const Tenant> tenants, std::span<const Arrival> arrivals) {
  std::vector<Violation> out;
  for (const auto &tenant : tenants) {
    // A retry at another server is the same operation.
    std::set<std::string_view> counted;
    std::deque<Millis> window;
    std::optional<Millis> exceededAt;
    for (const auto &it : arrivals) {
      if (!it.Operation || it.User != tenant.Name || !counted.insert(it.Id).second)
        continue;
      window.push_back(it.At);
      while (window.front() <= it.At - QuotaWindowMs)
        window.pop_front();
      if (static_cast<double>(window.size()) <= allowedInWindow(tenant))
        continue;
      if (!exceededAt || it.At - *exceededAt > QuotaWindowMs)
        out.push_back({"QUOTA", "workspace " + std::string(tenant.Name) + ": " +
                                    std::to_string(window.size()) + " operations reach servers from " +
                                    std::to_string(window.front()) + " to " + std::to_string(it.At) +
                                    " ms, allowed are " + std::to_string(allowedInWindow(tenant))});
      exceededAt = it.At;
    }
  }
  return out;
}

} // namespace rosemaryhinge::platformsoak

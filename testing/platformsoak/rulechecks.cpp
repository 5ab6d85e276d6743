// The checks of a run besides LOST.

#include "platformsoak/rulechecks.h"

#include "platformsoak/serverlog.h"

#include <algorithm>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis PropagationMs = 3'000;
constexpr Millis StableWindowMs = 5'000;
/// An unstable store stretches the bound by this.
constexpr Millis SkewMaxMs = 15'000;

bool isRead(const Request &it) { return it.Text.starts_with("READ "); }

bool needsSignature(const Request &it) { return isRead(it) || it.Text.starts_with("WRITE "); }

/// The bound for a request that was sent at the time.
Millis boundAt(Millis at, std::span<const Disruption> disruptions) {
  const bool unstable = std::any_of(disruptions.begin(), disruptions.end(), [&](const auto &it) {
    return !it.CallersOf && !it.OfServers && it.From <= at && it.Until + PropagationMs + SkewMaxMs >= at;
  });
  return PropagationMs + (unstable ? SkewMaxMs : 0);
}

bool inTouch(const ProcessLife &life, Millis from, Millis until) {
  if (life.StartedAt > from - StableWindowMs || (life.EndedAt && *life.EndedAt <= until))
    return false;
  const bool suspended =
      std::any_of(life.Suspensions.begin(), life.Suspensions.end(), [&](const Suspension &it) {
        return it.From <= until && (!it.Until || *it.Until >= from - StableWindowMs);
      });
  return !suspended &&
         std::none_of(life.Terms.begin(), life.Terms.end(), [&](Millis it) { return it <= until; });
}

/// Whether a version that may be in force for the request answers as the proxy did.
bool allowed(std::span<const ConfigVersion> versions, const ConfigProbe &probe, Millis bound) {
  for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
    if (it->SentAt > probe.EndedAt)
      continue;
    if (it->Extra.contains(probe.Host) == probe.Found)
      return true;
    if (it->AcknowledgedAt && *it->AcknowledgedAt + bound < probe.SentAt)
      return false;
  }
  return true;
}

} // namespace

const ProcessLife *lifeAt(const Lives &lives, int proxy, Millis at) {
  const ProcessLife *out = nullptr;
  for (const auto &it : lives.at(static_cast<std::size_t>(proxy)))
    if (it.StartedAt <= at)
      out = &it;
  return out;
}

std::vector<Violation> checkTwice(const Commits &commits) {
  std::vector<Violation> out;
  for (const auto &[id, positions] : commits)
    if (positions.size() > 1)
      out.push_back(
          {"TWICE", "statement " + id + " took effect " + std::to_string(positions.size()) + " times"});
  return out;
}

std::vector<Violation> checkAnswers(std::span<const Request> requests, const Runs &runs) {
  std::vector<Violation> out;
  for (const auto &it : requests) {
    if (it.Ending != Ending::Answered || !it.Error.empty() || !needsSignature(it))
      continue;
    const ServerRun *run = nullptr;
    if (const auto all = runs.find(it.Id); all != runs.end())
      for (const auto &one : all->second)
        if (one.Signature == it.Signature)
          run = &one;
    const auto what = "request " + it.Id + " (" + it.Host + ", " + it.Text.substr(0, 20) + ")";
    if (!run || run->Rows != it.Rows) {
      out.push_back(
          {"MIXED", what + (run ? " has other rows than its run" : " has no run with its signature")});
      continue;
    }
    if (isRead(it) && run->Position < it.NeedsPosition)
      out.push_back({"STALE", what + " ran at " + run->Server + " on position " +
                                  positionText(run->Position) + ", needs " + positionText(it.NeedsPosition)});
  }
  return out;
}

std::vector<Violation> checkConfig(std::span<const ConfigVersion> versions,
                                   std::span<const ConfigProbe> probes, const Lives &lives,
                                   std::span<const Disruption> disruptions) {
  std::vector<Violation> out;
  for (const auto &it : probes) {
    const auto *life = lifeAt(lives, it.Proxy, it.SentAt);
    if (!life || !inTouch(*life, it.SentAt, it.EndedAt))
      continue;
    if (!allowed(versions, it, boundAt(it.SentAt, disruptions)))
      out.push_back({"CONFIG", "database " + it.Host + " is " + (it.Found ? "found" : "missing") +
                                   " at proxy " + std::to_string(it.Proxy + 1) + ", asked at " +
                                   std::to_string(it.SentAt) + " ms, as only older configurations have it"});
  }
  return out;
}

} // namespace rosemaryhinge::platformsoak

// The rule LOST.

#include "platformsoak/lostrule.h"

#include <algorithm>

namespace rosemaryhinge::platformsoak {

namespace {

/// After the grace, for which the rule still holds.
constexpr Millis AfterGraceMs = 1'000;
/// Work at the end of the grace excuses requests that were sent no later than this after SIGTERM.
constexpr Millis ExcusedSentMs = 3'000;
/// The last part of the grace: one sixth.
constexpr Millis LastPart = 6;

bool nearStop(const Request &request, const ProcessLife &life, const LostBounds &bounds) {
  return std::any_of(life.Terms.begin(), life.Terms.end(), [&](Millis it) {
    return request.EndedAt >= it && request.EndedAt <= it + bounds.GraceMs + AfterGraceMs;
  });
}

bool nearReload(const Request &request, const ProcessLife &life, const LostBounds &bounds) {
  return std::any_of(life.Hups.begin(), life.Hups.end(), [&](Millis it) {
    return request.SentAt <= it + bounds.PropagationMs && request.EndedAt >= it;
  });
}

/// Whether a server was at work in the last sixth of the grace on a request that was sent early enough.
bool workAtTheEnd(const Request &request, std::span<const ServerRun> runs, const ProcessLife &life,
                  const LostBounds &bounds) {
  if (life.Terms.empty())
    return false;
  const auto term = life.Terms.front();
  const auto from = term + bounds.GraceMs - bounds.GraceMs / LastPart;
  return request.SentAt <= term + ExcusedSentMs && std::any_of(runs.begin(), runs.end(), [&](const auto &it) {
           return it.ReceivedAt <= term + bounds.GraceMs && (!it.DoneAt || *it.DoneAt >= from);
         });
}

} // namespace

std::string_view describe(LostVerdict verdict) {
  switch (verdict) {
  case LostVerdict::Lost:
    return "LOST";
  case LostVerdict::NotCut:
    return "not cut";
  case LostVerdict::NoPlannedWork:
    return "no planned work";
  case LostVerdict::NotTaken:
    return "not taken by a server, sent just before";
  case LostVerdict::HeldUp:
    return "not taken by a server, its connection was held up";
  case LostVerdict::ServerBroke:
    return "the server broke off";
  case LostVerdict::TimeReached:
    return "timeout or deadline reached";
  case LostVerdict::Crashed:
    return "the run killed the proxy";
  case LostVerdict::Suspended:
    return "the proxy was suspended";
  case LostVerdict::WorkAtTheEnd:
    return "at work in the last sixth of the grace";
  case LostVerdict::Disrupted:
    return "unplanned disruption";
  }
  return "";
}

LostVerdict judgeLost(const Request &request, std::span<const ServerRun> runs, const ProcessLife &life,
                      std::span<const Disruption> disruptions, const LostBounds &bounds) {
  if (request.Ending != Ending::Cut)
    return LostVerdict::NotCut;
  if (runs.empty() && request.EndedAt <= request.SentAt + bounds.SlackMs)
    return LostVerdict::NotTaken;
  const auto during = [&](const Disruption &it, Millis before) {
    return it.From <= request.EndedAt && it.Until >= request.SentAt - before;
  };
  // The process may have closed the connection before the request reached it.
  const bool held = std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption &it) {
    return it.CallersOf == request.Proxy && during(it, 0);
  });
  if (runs.empty() && held)
    return LostVerdict::HeldUp;
  if (request.EndedAt - request.SentAt >= std::min(request.TimeoutMs, request.DeadlineMs))
    return LostVerdict::TimeReached;
  if (!runs.empty() && runs.back().ServerBroke)
    return LostVerdict::ServerBroke;
  if (life.CrashedAt && request.EndedAt >= *life.CrashedAt)
    return LostVerdict::Crashed;
  if (std::any_of(life.Suspensions.begin(), life.Suspensions.end(), [&](const Suspension &it) {
        return it.From <= request.EndedAt && (!it.Until || *it.Until >= request.SentAt);
      }))
    return LostVerdict::Suspended;
  if (!nearStop(request, life, bounds) && !nearReload(request, life, bounds))
    return LostVerdict::NoPlannedWork;
  if (workAtTheEnd(request, runs, life, bounds))
    return LostVerdict::WorkAtTheEnd;
  const bool disrupted = std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption &it) {
    return !it.CallersOf && during(it, bounds.StableWindowMs);
  });
  return disrupted ? LostVerdict::Disrupted : LostVerdict::Lost;
}

} // namespace rosemaryhinge::platformsoak

// Choice of the server to promote.

#include "leadership/internal/survey.h"

#include <algorithm>

namespace rosemaryhinge::detail {

Term newestTerm(const Survey &survey) {
  Term out = 0;
  for (const auto &[target, it] : survey)
    if (it.Status)
      out = std::max({out, it.Status->RaisedTerm, it.Status->Log.Term});
  return out;
}

std::optional<TargetId> furthest(const Survey &survey) {
  std::optional<TargetId> best;
  for (const auto &[target, it] : survey) {
    const bool may = it.Status && !it.Missing && (!it.Former || it.SteppedDown) &&
                     (it.Former || it.Status->Role == TargetRole::Replica);
    if (!may)
      continue;
    if (!best) {
      best = target;
      continue;
    }
    const auto &other = survey.at(*best);
    const auto rank = [](const SurveyEntry &one) {
      return std::tuple(one.Status->Log, !one.Leaving, !one.Former);
    };
    if (rank(it) > rank(other))
      best = target;
  }
  return best;
}

bool holdsAll(const Survey &survey, const TargetId &candidate) {
  const auto self = survey.find(candidate);
  if (self == survey.end() || !self->second.Status)
    return false;
  const auto at = self->second.Status->Log;
  // The former primary's own log has everything that it acknowledged, once it acknowledges nothing more.
  for (const auto &[target, it] : survey)
    if (it.Former && it.SteppedDown && it.Status && it.Status->Log <= at)
      return true;
  return std::all_of(survey.begin(), survey.end(), [&](const auto &one) {
    const auto &[target, it] = one;
    return target == candidate || it.Former ||
           (!it.Missing && it.Paused && it.Status && it.Status->Log <= at);
  });
}

bool receives(const Survey &survey) {
  return std::any_of(survey.begin(), survey.end(), [](const auto &one) {
    const auto &it = one.second;
    return !it.Former && it.Status && it.FirstLog && it.Status->Log > *it.FirstLog;
  });
}

std::optional<TargetId> leads(const Survey &survey) {
  const auto newest = newestTerm(survey);
  for (const auto &[target, it] : survey)
    if (!it.Former && it.Status && it.Status->Role == TargetRole::Primary && it.Status->Log.Term >= newest)
      return target;
  return std::nullopt;
}

} // namespace rosemaryhinge::detail

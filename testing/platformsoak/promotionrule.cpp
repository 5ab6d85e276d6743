// The check of rule LOST at promotions.

#include "platformsoak/promotionrule.h"

#include <map>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr std::size_t CommitsShown = 5;

/// When callers got the success of their requests, by id.
using Successes = std::map<std::string, Millis>;

Successes successes(std::span<const Request> requests) {
  Successes out;
  for (const auto &it : requests)
    if (it.Ending == Ending::Answered && it.Error.empty())
      out[it.Id] = it.EndedAt;
  return out;
}

std::string describe(const MissingCommit &commit, Millis seenAt) {
  auto out = "; " + commit.Position + " (" + commit.Statement + "), seen at " + std::to_string(seenAt) +
             " ms, held by";
  for (const auto &it : commit.Holders)
    out += " " + it;
  return out + (commit.Holders.empty() ? " nobody" : "");
}

} // namespace

std::vector<Violation> checkPromotions(std::span<const Promotion> promotions,
                                       std::span<const Request> requests) {
  const auto seen = successes(requests);
  std::vector<Violation> out;
  for (const auto &promotion : promotions) {
    std::size_t lost = 0;
    std::string commits;
    for (const auto &it : promotion.Missing) {
      const auto success = seen.find(it.Statement);
      if (success == seen.end() || success->second > promotion.At)
        continue;
      if (++lost <= CommitsShown)
        commits += describe(it, success->second);
    }
    if (lost > 0)
      out.push_back({"LOST at promotion", promotion.Server + " of " + promotion.Service + ", promoted at " +
                                              std::to_string(promotion.At) + " ms with " + promotion.Log +
                                              " by the order of " + promotion.Holder + ", token " +
                                              std::to_string(promotion.Token) + ", lacks " +
                                              std::to_string(lost) + " acknowledged commits" + commits});
  }
  return out;
}

} // namespace rosemaryhinge::platformsoak

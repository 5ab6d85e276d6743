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

std::string listOf(std::span<const std::string> names) {
  std::string out;
  for (const auto &it : names)
    out += " " + it;
  return out.empty() ? " nobody" : out;
}

/// The commits that a promotion lacks, as far as they are shown.
class MissingList {
public:
  void add(const MissingCommit &commit, const std::string &detail) {
    if (++Count <= CommitsShown)
      Shown += "; " + commit.Position + " (" + commit.Statement + "), " + detail;
  }
  void report(const Promotion &promotion, const std::string &rule, const std::string &kind,
              std::vector<Violation> &out) const {
    if (Count > 0)
      out.push_back({rule, promotion.Server + " of " + promotion.Service + ", promoted at " +
                               std::to_string(promotion.At) + " ms with " + promotion.Log +
                               " by the order of " + promotion.Holder + ", token " +
                               std::to_string(promotion.Token) + ", lacks " + std::to_string(Count) + " " +
                               kind + Shown});
  }

private:
  std::size_t Count = 0;
  std::string Shown;
};

} // namespace

std::vector<Violation> checkPromotions(std::span<const Promotion> promotions,
                                       std::span<const Request> requests) {
  const auto seen = successes(requests);
  std::vector<Violation> out;
  for (const auto &promotion : promotions) {
    MissingList lost;
    for (const auto &it : promotion.Missing)
      if (const auto success = seen.find(it.Statement);
          success != seen.end() && success->second <= promotion.At)
        lost.add(it, "seen at " + std::to_string(success->second) + " ms, held by" + listOf(it.Holders));
    lost.report(promotion, "LOST at promotion", "acknowledged commits", out);
  }
  return out;
}

std::vector<Violation> checkServerAcknowledged(std::span<const Promotion> promotions) {
  std::vector<Violation> out;
  for (const auto &promotion : promotions) {
    MissingList lost;
    for (const auto &it : promotion.Missing)
      if (!it.RunningHolders.empty())
        lost.add(it, "acknowledged at " + std::to_string(it.AcknowledgedAt) + " ms, held by" +
                         listOf(it.RunningHolders));
    lost.report(promotion, "LOST at promotion, as servers acknowledged",
                "commits that a server acknowledged and that a running one holds", out);
  }
  return out;
}

} // namespace rosemaryhinge::platformsoak

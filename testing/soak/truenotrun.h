// Checker of true_not_run.

#pragma once

#include "soak/checker.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace rosemaryhinge::soak {

/// What was refused with not_run is in no primary's log, then or later.
class TrueNotRun : public Checker {
public:
  explicit TrueNotRun(fakes::Fleet &fleet) : Checker(fleet, "true_not_run") {}

  void onAnswered(const fakes::Submission &submission, const Answer &answer) override;
  void atEnd() override;

  [[nodiscard]] std::size_t claims() const { return Claims.size(); }

private:
  /// Operation and try; a later try of the same operation may run.
  std::map<std::pair<std::string, std::uint32_t>, std::pair<DatabaseId, std::string>> Claims;
};

} // namespace rosemaryhinge::soak

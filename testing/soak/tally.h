// Counts of what a run held, so that an empty run cannot pass for a good one.

#pragma once

#include "soak/checker.h"

#include <cstdint>
#include <map>
#include <string>

namespace rosemaryhinge::soak {

class Tally : public fakes::IObserver {
public:
  void onAnswered(const fakes::Submission &submission, const Answer &answer) override;
  void onPromoted(const fakes::FakeServer &server, Term term) override;
  void onProxyEnded(const fakes::FakeProxy &proxy, bool graceful) override;

  std::map<std::string, std::uint64_t> Counts;
};

} // namespace rosemaryhinge::soak

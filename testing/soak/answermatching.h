// Checker of answer_matching.

#pragma once

#include "soak/checker.h"

#include <map>
#include <set>
#include <utility>

namespace rosemaryhinge::soak {

/// A caller gets one answer to a request; it is the whole answer, and to this request.
class AnswerMatching : public Checker {
public:
  explicit AnswerMatching(fakes::Fleet &fleet) : Checker(fleet, "answer_matching") {}

  void onAnswered(const fakes::Submission &submission, const Answer &answer) override;
  void onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                        const fakes::Submission &submission) override;
  void onEffect(const fakes::FakeProxy &proxy, const Effect &effect) override;

private:
  using Process = std::pair<std::size_t, std::uint64_t>;
  std::set<std::pair<Process, std::uint64_t>> Open;
};

} // namespace rosemaryhinge::soak

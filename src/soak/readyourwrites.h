// Checker of read_your_writes.

#pragma once

#include "soak/checker.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace rosemaryhinge::soak {

/// A session's read returns its last acknowledged write, or a write that came later in the log. A read with a
/// stated age must show what was acknowledged before that age.
class ReadYourWrites : public Checker {
public:
  explicit ReadYourWrites(fakes::Fleet &fleet) : Checker(fleet, "read_your_writes") {}

  void onCommitted(const fakes::FakeServer &server, const fakes::LogEntry &entry) override;
  void onAnswered(const fakes::Submission &submission, const Answer &answer) override;

private:
  struct Acknowledged {
    std::string Tag;
    TimePoint At;
  };
  void check(const fakes::Submission &submission, const StatementResult &result);
  [[nodiscard]] Position positionOf(const std::string &tag) const;

  std::unordered_map<std::string, Position> Positions;
  std::map<std::size_t, std::vector<Acknowledged>> Sessions;
};

} // namespace rosemaryhinge::soak

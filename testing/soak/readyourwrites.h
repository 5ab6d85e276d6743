// Checker of read_your_writes.

#pragma once

#include "soak/checker.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace rosemaryhinge::soak {

/// A session's read returns its last acknowledged write, or a write that came later in the log, whatever age
/// it accepts. A read of another session's row with a stated age shows what was acknowledged before that age.
class ReadYourWrites : public Checker {
public:
  explicit ReadYourWrites(fakes::Fleet &fleet) : Checker(fleet, "read_your_writes") {}

  void onCommitted(const fakes::FakeServer &server, const fakes::LogEntry &entry) override;
  void onAnswered(const fakes::Submission &submission, const Answer &answer) override;

private:
  struct Acknowledged {
    std::string Tag;
    TimePoint At;
    std::size_t Session = 0;
    bool MayBeLost = false; ///< Acknowledged by the primary alone.
  };
  void check(const fakes::Submission &submission, const StatementResult &result);
  [[nodiscard]] Position positionOf(const std::string &tag) const;

  std::unordered_map<std::string, Position> Positions;
  std::map<std::string, std::vector<Acknowledged>> Rows; ///< By database and key.
};

} // namespace rosemaryhinge::soak

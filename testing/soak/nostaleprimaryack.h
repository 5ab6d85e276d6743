// Checker of no_stale_primary_ack.

#pragma once

#include "soak/checker.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace rosemaryhinge::soak {

/// No proxy decides to acknowledge a write of a term after a later term has its primary. The decision is the
/// first emission of the success; passing an earlier decision on may take longer.
class NoStalePrimaryAck : public Checker {
public:
  explicit NoStalePrimaryAck(fakes::Fleet &fleet) : Checker(fleet, "no_stale_primary_ack") {}

  void onSubmitted(const fakes::Submission &submission) override;
  void onCommitted(const fakes::FakeServer &server, const fakes::LogEntry &entry) override;
  void onEffect(const fakes::FakeProxy &proxy, const Effect &effect) override;
  void onPromoted(const fakes::FakeServer &server, Term term) override;

private:
  void check(const fakes::FakeProxy &proxy, const Success &success);

  std::unordered_map<std::string, const fakes::Operation *> Operations;
  std::unordered_map<std::string, Term> CommittedIn;
  std::map<DatabaseId, Term> Highest;
  std::set<std::string> Decided;
};

} // namespace rosemaryhinge::soak

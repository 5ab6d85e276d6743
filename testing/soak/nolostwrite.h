// Checker of no_lost_write.

#pragma once

#include "soak/checker.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge::soak {

/// A write acknowledged under strength replica is in the log of every later primary.
class NoLostWrite : public Checker {
public:
  explicit NoLostWrite(fakes::Fleet &fleet) : Checker(fleet, "no_lost_write") {}

  void onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                        const fakes::Submission &submission) override;
  void onEffect(const fakes::FakeProxy &proxy, const Effect &effect) override;
  void onPromoted(const fakes::FakeServer &server, Term term) override;
  void atEnd() override;

  [[nodiscard]] std::size_t acknowledged() const { return Acknowledged.size(); }

private:
  using CallKey = std::pair<std::pair<std::size_t, std::uint64_t>, std::uint64_t>;
  void check(const fakes::FakeServer &server, const DatabaseId &database, const std::string &when);

  std::map<CallKey, fakes::Submission> Calls;
  std::map<std::string, const fakes::Operation *> Acknowledged;
  std::map<std::pair<DatabaseId, Term>, TargetId> Promoted;
};

} // namespace rosemaryhinge::soak

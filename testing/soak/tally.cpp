// Counting of answers by kind.

#include "soak/tally.h"

namespace rosemaryhinge::soak {

void Tally::onAnswered(const fakes::Submission &submission, const Answer &answer) {
  if (const auto *refusal = std::get_if<Refusal>(&answer)) {
    ++Counts["refused." + std::string(toString(refusal->Reason))];
    ++Counts["refused." + std::string(toString(refusal->Ran))];
    return;
  }
  const auto &success = std::get<Success>(answer);
  if (success.Replayed)
    ++Counts["answers.replayed"];
  if (submission.Step == TransactionStep::Commit)
    ++Counts["answers.commit"];
  if (submission.Step != TransactionStep::None && submission.Step != TransactionStep::Commit)
    return;
  if (submission.What->Write)
    ++Counts["answers.write"];
  else
    ++Counts[success.ServedByReplica ? "answers.replica_read" : "answers.primary_read"];
  if (submission.What->MaxStaleness)
    ++Counts["answers.stated_age_read"];
  if (submission.Try > 1)
    ++Counts["answers.later_try"];
}

void Tally::onPromoted(const fakes::FakeServer & /*server*/, Term /*term*/) { ++Counts["promotions"]; }

void Tally::onProxyEnded(const fakes::FakeProxy & /*proxy*/, bool graceful) {
  ++Counts[graceful ? "proxies.ended_gracefully" : "proxies.killed"];
}

} // namespace rosemaryhinge::soak

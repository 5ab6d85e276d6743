// Comparison of what a session reads with what it wrote.

#include "soak/readyourwrites.h"

#include <algorithm>

namespace rosemaryhinge::soak {

void ReadYourWrites::onCommitted(const fakes::FakeServer & /*server*/, const fakes::LogEntry &entry) {
  if (!entry.Tag.empty()) {
    auto &known = Positions[entry.Tag];
    known = std::max(known, entry.End);
  }
}

Position ReadYourWrites::positionOf(const std::string &tag) const {
  auto it = Positions.find(tag);
  return it == Positions.end() ? Position{} : it->second;
}

void ReadYourWrites::onAnswered(const fakes::Submission &submission, const Answer &answer) {
  const auto &op = *submission.What;
  if (const auto *refusal = std::get_if<Refusal>(&answer)) {
    // The caller was told that writes of its session are lost and begins a new one.
    if (refusal->Reason == RefusalReason::SessionWriteLost)
      for (auto &[key, writes] : Rows)
        std::erase_if(writes, [&](const auto &it) { return it.Session == op.Session; });
    return;
  }
  bool whole = submission.Step == TransactionStep::None;
  if (op.Write) {
    if (whole || submission.Step == TransactionStep::Commit)
      Rows[op.Database.str() + "/" + op.Key].push_back(
          {op.Tag, World.Queue.now(), op.Session, op.StrengthPrimary});
    return;
  }
  if (!whole && submission.Step != TransactionStep::Statement)
    return;
  for (const auto &it : std::get<Success>(answer).Results)
    if (!it.Columns.empty() && fakes::resultTag(it) == op.Tag)
      check(submission, it);
}

void ReadYourWrites::check(const fakes::Submission &submission, const StatementResult &result) {
  const auto &op = *submission.What;
  if (op.Sleep > 0ms && result.Columns.front().ends_with("#0"))
    return; // The result of the sleep.
  Position needed;
  std::string neededTag;
  for (const auto &it : Rows[op.Database.str() + "/" + op.Key]) {
    bool own = it.Session == op.Session;
    if (!own && (!op.MaxStaleness || it.MayBeLost))
      continue;
    auto until = own ? submission.SentAt : submission.SentAt - *op.MaxStaleness;
    if (it.At <= until && positionOf(it.Tag) > needed) {
      needed = positionOf(it.Tag);
      neededTag = it.Tag;
    }
  }
  std::string seen = result.Rows.empty() ? "" : result.Rows.front().front().value_or("");
  if (positionOf(seen) < needed)
    fail("operation " + op.Tag + " of session " + std::to_string(op.Session) + " read '" + seen +
         "' after the write " + neededTag + " at " + std::to_string(needed.Term) + "/" +
         std::to_string(needed.Lsn) + " was acknowledged");
}

} // namespace rosemaryhinge::soak

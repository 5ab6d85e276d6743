// Comparison of acknowledged writes with the logs of later primaries.

#include "soak/nolostwrite.h"

namespace rosemaryhinge::soak {

void NoLostWrite::onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                                   const fakes::Submission &submission) {
  Calls[{{proxy.index(), proxy.incarnation()}, id.Value}] = submission;
}

void NoLostWrite::onEffect(const fakes::FakeProxy &proxy, const Effect &effect) {
  const auto *respond = std::get_if<Respond>(&effect);
  if (respond == nullptr)
    return;
  auto it = Calls.find({{proxy.index(), proxy.incarnation()}, respond->Id.Value});
  if (it == Calls.end())
    return;
  auto submission = it->second;
  Calls.erase(it);
  bool ends = submission.Step == TransactionStep::None || submission.Step == TransactionStep::Commit;
  if (std::holds_alternative<Success>(respond->Answer) && ends && submission.What->Write &&
      !submission.What->StrengthPrimary)
    Acknowledged[submission.What->Tag] = submission.What;
}

void NoLostWrite::onPromoted(const fakes::FakeServer &server, Term term) {
  for (const auto &it : World.Groups) {
    if (it->find(server.name()) == nullptr)
      continue;
    const auto &database = it->Description.Database;
    auto [known, added] = Promoted.try_emplace({database, term}, server.name());
    if (!added && known->second != server.name())
      fail("two primaries of term " + std::to_string(term) + " of " + database.str() + ": " +
           known->second.str() + " and " + server.name().str());
    check(server, database, "at its promotion to term " + std::to_string(term));
  }
}

void NoLostWrite::check(const fakes::FakeServer &server, const DatabaseId &database,
                        const std::string &when) {
  for (const auto &[tag, op] : Acknowledged)
    if (op->Database == database && !server.contains(tag))
      fail(std::string("acknowledged write ")
               .append(tag)
               .append(" is not in the log of ")
               .append(server.name().str())
               .append(" ")
               .append(when));
}

void NoLostWrite::atEnd() {
  for (const auto &it : World.Groups)
    if (auto *primary = it->primary())
      check(*primary, it->Description.Database, "at the end");
}

} // namespace rosemaryhinge::soak

// Comparison of acknowledgements with the promotions that took effect before them.

#include "soak/nostaleprimaryack.h"

#include <algorithm>

namespace rosemaryhinge::soak {

void NoStalePrimaryAck::onSubmitted(const fakes::Submission &submission) {
  if (submission.What->Write)
    Operations[submission.What->Tag] = submission.What;
}

void NoStalePrimaryAck::onCommitted(const fakes::FakeServer & /*server*/, const fakes::LogEntry &entry) {
  if (!entry.Tag.empty())
    CommittedIn[entry.Tag] = entry.End.Term;
}

void NoStalePrimaryAck::onPromoted(const fakes::FakeServer &server, Term term) {
  for (const auto &it : World.Groups)
    if (it->find(server.name()) != nullptr)
      Highest[it->Description.Database] = std::max(Highest[it->Description.Database], term);
}

void NoStalePrimaryAck::onEffect(const fakes::FakeProxy &proxy, const Effect &effect) {
  if (const auto *respond = std::get_if<Respond>(&effect)) {
    if (const auto *success = std::get_if<Success>(&respond->Answer))
      check(proxy, *success);
  } else if (const auto *send = std::get_if<SendToPeer>(&effect)) {
    if (const auto *forward = std::get_if<ForwardAnswer>(&send->Message))
      if (const auto *success = std::get_if<Success>(&forward->Answer))
        check(proxy, *success);
  }
}

void NoStalePrimaryAck::check(const fakes::FakeProxy &proxy, const Success &success) {
  if (success.Results.empty() || success.Replayed)
    return;
  auto tag = fakes::resultTag(success.Results.front());
  auto it = Operations.find(tag);
  if (it == Operations.end())
    return;
  bool commits = success.Results.front().Columns.front().ends_with("#commit");
  if (it->second->Interactive != commits)
    return; // A statement inside a transaction acknowledges nothing.
  if (!Decided.insert(tag).second)
    return;
  auto term = success.Session ? success.Session->Term : CommittedIn[tag];
  auto highest = Highest[it->second->Database];
  if (term < highest)
    fail(proxy.config().Node.str() + " acknowledged " + tag + " of term " + std::to_string(term) +
         " after the promotion to term " + std::to_string(highest));
}

} // namespace rosemaryhinge::soak

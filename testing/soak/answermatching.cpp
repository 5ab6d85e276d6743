// Comparison of answers with the requests they were given to.

#include "soak/answermatching.h"

namespace rosemaryhinge::soak {

void AnswerMatching::onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                                      const fakes::Submission & /*submission*/) {
  Open.insert({{proxy.index(), proxy.incarnation()}, id.Value});
}

void AnswerMatching::onEffect(const fakes::FakeProxy &proxy, const Effect &effect) {
  const auto *respond = std::get_if<Respond>(&effect);
  if (respond != nullptr && Open.erase({{proxy.index(), proxy.incarnation()}, respond->Id.Value}) == 0)
    fail(proxy.config().Node.str() + " answered request " + std::to_string(respond->Id.Value) +
         " that is not open");
}

void AnswerMatching::onAnswered(const fakes::Submission &submission, const Answer &answer) {
  const auto *success = std::get_if<Success>(&answer);
  if (success == nullptr)
    return;
  const auto &tag = submission.What->Tag;
  for (const auto &it : success->Results)
    if (auto other = fakes::resultTag(it); other != tag)
      fail(std::string("operation ").append(tag).append(" got a result of '").append(other).append("'"));
  bool counted = submission.Step == TransactionStep::None || submission.Step == TransactionStep::Statement;
  if (counted && success->Results.size() != submission.Statements)
    fail("operation " + tag + " got " + std::to_string(success->Results.size()) + " results for " +
         std::to_string(submission.Statements) + " statements");
}

} // namespace rosemaryhinge::soak

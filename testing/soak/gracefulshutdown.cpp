// Account of the work that a proxy has taken in and not answered.

#include "soak/gracefulshutdown.h"

namespace rosemaryhinge::soak {

void GracefulShutdown::onBeforeEvent(const fakes::FakeProxy &proxy, const Event &event) {
  auto &work = Proxies[proxy.index()];
  if (const auto *received = std::get_if<PeerReceived>(&event)) {
    // A copy of a request that this process has answered needs no second answer.
    if (const auto *forward = std::get_if<ForwardRequest>(&received->Message);
        forward != nullptr && !work.Answered.contains({received->From, forward->Id.Value}))
      work.Forwarded.insert({received->From, forward->Id.Value});
  } else if (const auto *lost = std::get_if<PeerLost>(&event)) {
    std::erase_if(work.Forwarded, [&](const auto &it) { return it.first == lost->Node; });
  }
}

void GracefulShutdown::onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                                        const fakes::Submission &submission) {
  if (submission.Step == TransactionStep::None)
    Proxies[proxy.index()].ArrivedBefore[id.Value] = !proxy.leaving();
}

void GracefulShutdown::onEffect(const fakes::FakeProxy &proxy, const Effect &effect) {
  auto &work = Proxies[proxy.index()];
  if (const auto *send = std::get_if<SendToPeer>(&effect)) {
    if (const auto *answer = std::get_if<ForwardAnswer>(&send->Message)) {
      work.Forwarded.erase({send->To, answer->Id.Value});
      work.Answered.insert({send->To, answer->Id.Value});
    }
  } else if (const auto *respond = std::get_if<Respond>(&effect)) {
    const auto *refusal = std::get_if<Refusal>(&respond->Answer);
    if (refusal != nullptr && refusal->Reason == RefusalReason::ShuttingDown &&
        work.ArrivedBefore[respond->Id.Value])
      fail(proxy.config().Node.str() +
           " refused a request as shutting_down that arrived before the shutdown");
    work.ArrivedBefore.erase(respond->Id.Value);
  } else if (std::holds_alternative<ShutdownComplete>(effect)) {
    ++Completed;
    if (proxy.unanswered() > 0)
      fail(proxy.config().Node.str() + " ends with " + std::to_string(proxy.unanswered()) +
           " requests unanswered");
    if (!work.Forwarded.empty())
      fail(proxy.config().Node.str() + " ends with " + std::to_string(work.Forwarded.size()) +
           " forwarded requests unanswered");
    for (const auto &group : World.Groups)
      for (const auto &server : group->servers())
        if (server->executionsOf(proxy.index(), proxy.incarnation()) > 0)
          fail(proxy.config().Node.str() + " ends with statements running at " + server->name().str());
  }
}

void GracefulShutdown::onProxyEnded(const fakes::FakeProxy &proxy, bool /*graceful*/) {
  Proxies.erase(proxy.index());
}

} // namespace rosemaryhinge::soak

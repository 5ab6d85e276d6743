// Writes events and effects of a run to its trace.

#pragma once

#include "soak/checker.h"

namespace rosemaryhinge::soak {

class Tracer : public fakes::IObserver {
public:
  explicit Tracer(fakes::Fleet &fleet) : World(fleet) {}

  void onSubmitted(const fakes::Submission &submission) override;
  void onAnswered(const fakes::Submission &submission, const Answer &answer) override;
  void onRequestArrived(const fakes::FakeProxy &proxy, RequestId id,
                        const fakes::Submission &submission) override;
  void onBeforeEvent(const fakes::FakeProxy &proxy, const Event &event) override;
  void onEffect(const fakes::FakeProxy &proxy, const Effect &effect) override;
  void onCommitted(const fakes::FakeServer &server, const fakes::LogEntry &entry) override;
  void onPromoted(const fakes::FakeServer &server, Term term) override;
  void onProxyStarted(const fakes::FakeProxy &proxy) override;

private:
  fakes::Fleet &World;
};

} // namespace rosemaryhinge::soak

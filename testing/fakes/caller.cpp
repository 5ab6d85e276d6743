// Behaviour of the fake caller.

#include "fakes/caller.h"

#include "base/overloaded.h"
#include "fakes/fleet.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

namespace {

constexpr std::uint32_t MaxTries = 4;
constexpr Duration GiveUpAfterDeadline = 500ms;
constexpr Duration NoProxyPause = 200ms;

} // namespace

FakeCaller::FakeCaller(Fleet &fleet, std::size_t index, CallerProfile profile, std::uint64_t seed)
    : World(fleet), Index(index), Profile(std::move(profile)), Random(seed) {}

void FakeCaller::start() { think(); }

void FakeCaller::think() {
  World.Queue.after(Random.exponential(Profile.Think), [this] {
    if (!Stopped && Current == nullptr)
      begin();
  });
}

void FakeCaller::begin() {
  Current = &World.keep(choose());
  Try = 1;
  StepsLeft = Current->Interactive ? 1 + Random.below(3) : 0;
  sendStep(Current->Interactive ? TransactionStep::Begin : TransactionStep::None);
}

void FakeCaller::runOnce(bool write) {
  Operation op;
  op.Tag = "c" + std::to_string(Index) + "-" + std::to_string(++NextOperation);
  op.Database = Profile.Database;
  op.Session = Index;
  op.Key = "k" + std::to_string(Index);
  op.Write = write;
  op.Deadline = Profile.Deadline;
  Last.reset();
  Current = &World.keep(std::move(op));
  Try = 1;
  sendStep(TransactionStep::None);
}

Operation FakeCaller::choose() {
  Operation op;
  op.Tag = "c" + std::to_string(Index) + "-" + std::to_string(++NextOperation);
  op.Database = Profile.Database;
  op.Session = Index;
  op.Key = "k" + std::to_string(Index);
  op.Write = Random.chance(Profile.WriteShare);
  op.Interactive = Random.chance(Profile.InteractiveShare);
  op.Deadline = Profile.Deadline;
  op.Statements = 1 + Random.below(2);
  op.Fails = Random.chance(Profile.FailingShare);
  if (Random.chance(Profile.LongShare))
    op.Sleep = Random.between(100ms, 1500ms);
  if (op.Write) {
    op.StrengthPrimary = Random.chance(Profile.PrimaryShare);
    op.Class = ClassName(op.StrengthPrimary ? "fast" : Random.chance(0.3) ? "repeatable" : "default");
    if (!op.Interactive && Random.chance(Profile.KeyedShare))
      op.IdempotencyKey = "key-" + op.Tag;
  } else {
    op.Class = ClassName("default");
    if (!op.Interactive && Random.chance(Profile.StaleShare))
      op.MaxStaleness = Random.between(200ms, 3s);
    // Rows of others tell whether a stated age is kept.
    if (op.MaxStaleness && Random.chance(0.5))
      op.Key = "k" + std::to_string(Random.below(World.Callers.size()));
  }
  return op;
}

FakeProxy *FakeCaller::choose(bool sticky) {
  if (sticky && LastProxy < World.Proxies.size() && World.Proxies[LastProxy]->ready())
    return World.Proxies[LastProxy].get();
  std::vector<FakeProxy *> ready;
  for (const auto &it : World.Proxies)
    if (it->ready())
      ready.push_back(it.get());
  return ready.empty() ? nullptr : ready[Random.below(ready.size())];
}

CallerRequest FakeCaller::makeRequest(const Operation &op, TransactionStep step, Submission &submission) {
  CallerRequest out;
  out.Caller = CallerId("caller" + std::to_string(Index));
  out.Database = op.Database;
  out.Class = op.Class;
  out.ReadOnly = !op.Write;
  out.Session = Session;
  out.MaxStaleness = op.MaxStaleness;
  out.IdempotencyKey = op.IdempotencyKey;
  out.Step = step;
  out.Transaction = Transaction;
  std::string mark = " #" + op.Tag + "/" + std::to_string(Try);
  if (step == TransactionStep::None || step == TransactionStep::Statement) {
    if (op.Sleep > 0ms)
      out.Statements.push_back(
          "sleep " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(op.Sleep).count()) +
          mark);
    for (std::size_t n = 0; n < op.Statements; ++n)
      out.Statements.push_back((op.Write ? "put " + op.Key + " " + op.Tag : "get " + op.Key) + mark);
    if (op.Fails)
      out.Statements.push_back("fail" + mark);
  }
  submission = {&op, Try, World.Queue.now(), step, out.Statements.size(), Session};
  return out;
}

void FakeCaller::sendStep(TransactionStep step) {
  auto number = ++Number;
  auto *proxy = choose(Random.chance(Profile.StickyShare));
  if (proxy == nullptr) {
    World.Queue.after(NoProxyPause, [this, number] { connectionLost(number); });
    return;
  }
  LastProxy = proxy->index();
  Submission submission;
  auto request = makeRequest(*Current, step, submission);
  for (auto *it : World.Observers)
    it->onSubmitted(submission);
  transmit(*proxy, submission, std::move(request));
  World.Queue.after(Current->Deadline + GiveUpAfterDeadline, [this, number] { connectionLost(number); });
}

void FakeCaller::transmit(FakeProxy &proxy, const Submission &submission, CallerRequest request) {
  auto number = Number;
  auto latency = World.Plan.ToCallers;
  auto *destination = &proxy;
  World.Queue.after(
      latency, [this, number, latency, submission, destination, request = std::move(request)]() mutable {
        auto back = [this, number, latency, submission](const Answer &answer) {
          World.Queue.after(latency,
                            [this, number, submission, answer] { answered(number, submission, answer); });
        };
        auto lost = [this, number, latency] {
          World.Queue.after(latency, [this, number] { connectionLost(number); });
        };
        destination->request(submission, std::move(request), back, lost);
      });
}

void FakeCaller::answered(std::uint64_t number, const Submission &submission, const Answer &answer) {
  if (number != Number || Current == nullptr)
    return;
  for (auto *it : World.Observers)
    it->onAnswered(submission, answer);
  ++Number; // The answer is taken; a later loss of this connection means nothing.
  Last = answer;
  std::visit(Overloaded{[&](const Success &it) { succeeded(submission, it); },
                        [&](const Refusal &it) {
                          ++Refused;
                          if (it.Reason == RefusalReason::SessionWriteLost)
                            Session.reset();
                          failed(it.RetryAfter);
                        }},
             answer);
}

void FakeCaller::connectionLost(std::uint64_t number) {
  if (number != Number || Current == nullptr)
    return;
  ++Number;
  ++Unanswered;
  failed(std::nullopt);
}

void FakeCaller::succeeded(const Submission &submission, const Success &success) {
  if (success.Session && (!Session || *Session < *success.Session))
    Session = success.Session;
  if (submission.Step == TransactionStep::Begin || submission.Step == TransactionStep::Statement) {
    nextStep(success);
    return;
  }
  ++Succeeded;
  done();
}

void FakeCaller::nextStep(const Success &success) {
  if (!success.Transaction.empty())
    Transaction = success.Transaction;
  auto step = TransactionStep::Statement;
  if (StepsLeft == 0)
    step = Random.chance(0.85) ? TransactionStep::Commit : TransactionStep::Rollback;
  else
    --StepsLeft;
  if (Random.chance(0.03))
    return done(); // The caller forgets its transaction.
  World.Queue.after(Random.between(1ms, 40ms), [this, step] { sendStep(step); });
}

void FakeCaller::failed(std::optional<Duration> retryAfter) {
  if (Current->Interactive || Current->IdempotencyKey.empty() || Try >= MaxTries || Current->Fails)
    return done();
  ++Try;
  auto pause = std::min<Duration>(retryAfter.value_or(Random.between(10ms, 300ms)), 1s);
  World.Queue.after(pause, [this] {
    if (Current != nullptr)
      sendStep(TransactionStep::None);
  });
}

void FakeCaller::done() {
  Current = nullptr;
  ++Number;
  Transaction = TransactionId{};
  if (!Stopped)
    think();
}

} // namespace rosemaryhinge::fakes

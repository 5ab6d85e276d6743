// Open-loop reads.

#include "measure/openload.h"

#include <utility>

namespace rosemaryhinge::measure {

OpenLoad::OpenLoad(fakes::Fleet &fleet, std::string name, LoadOptions options)
    : World(fleet), Name(std::move(name)), Options(std::move(options)) {}

void OpenLoad::start(Duration time, double perSecond) {
  const Duration gap(static_cast<Duration::rep>(1e6 / perSecond));
  for (Duration at{}; at < time; at += gap)
    World.Queue.after(at, [this] { send(); });
}

void OpenLoad::send() {
  const auto number = Results.size();
  Results.push_back({World.Queue.now(), {}, false});
  fakes::Operation op;
  op.Tag = Name + std::to_string(number);
  op.Database = World.Plan.Groups.front().Database;
  op.Key = "load";
  op.Class = ClassName(Options.Class);
  op.Deadline = Options.Deadline;
  const auto &kept = World.keep(std::move(op));
  CallerRequest request;
  request.Caller = CallerId(Name + std::to_string(number % 50));
  request.Database = kept.Database;
  request.Class = kept.Class;
  request.ReadOnly = true;
  const auto sleep = std::chrono::duration_cast<std::chrono::milliseconds>(Options.Sleep).count();
  request.Statements = {"sleep " + std::to_string(sleep) + " #" + kept.Tag + "/1"};
  World.Proxies[number % World.Proxies.size()]->request(
      fakes::Submission{&kept, 1, World.Queue.now(), TransactionStep::None, 1, {}}, std::move(request),
      [this, number](const Answer &answer) {
        auto &result = Results[number];
        result.Succeeded = std::holds_alternative<Success>(answer);
        result.Took = World.Queue.now() - result.SentAt;
      },
      [] {});
}

} // namespace rosemaryhinge::measure

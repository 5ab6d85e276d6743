// Orders to servers, and promotions, that have no answer and are carried out seconds later.

#include "sessionworld/world.h"

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration MinOrderDelay = 2s;

std::string_view nameOf(const LinkCommand &command) {
  if (std::holds_alternative<PauseReplica>(command))
    return "pause";
  if (std::holds_alternative<ResumeReplica>(command))
    return "resume";
  return std::holds_alternative<StepDownPrimary>(command) ? "step-down" : "";
}

} // namespace

std::optional<Duration> World::drawOrderDelay() {
  if (Options.LateOrders == 0 || Queue.now() >= LastPlanned - MaxOrderDelay ||
      !OrderRandom.chance(Options.LateOrders))
    return std::nullopt;
  ++Result.LateOrders;
  return OrderRandom.between(MinOrderDelay, MaxOrderDelay);
}

bool World::delayOrder(Link &link, const LinkCommand &command) {
  const auto name = nameOf(command);
  if (name.empty())
    return false;
  const auto delay = drawOrderDelay();
  if (!delay)
    return false;
  link.Silent = true;
  const auto starts = Cluster.servers()[link.Server].Starts;
  const auto line = link.Target.str() + " carries out a late " + std::string(name) + " from n" +
                    std::to_string(link.Proxy) + " of " +
                    std::to_string(Queue.now().time_since_epoch() / 1ms);
  Queue.after(*delay, [this, line, starts, target = link.Target, command] {
    const auto *server = Cluster.find(target);
    if (!server || !server->Up || server->Starts != starts)
      return;
    trace(line);
    Cluster.execute(target, {}, command, [](const LinkReplied &) {});
  });
  return true;
}

bool World::delayPromotion(std::size_t proxy, const PromotionCall &call) {
  const auto delay = drawOrderDelay();
  if (!delay)
    return false;
  const auto sentAt = std::to_string(Queue.now().time_since_epoch() / 1ms);
  Queue.after(*delay, [this, call, sentAt] {
    const bool taken = Cluster.promote(call.Target, call.Token);
    trace("late promotion of " + call.Target.str() + " sent at " + sentAt + " with token " +
          std::to_string(call.Token) + (taken ? " is accepted" : " is refused"));
  });
  Queue.after(call.Timeout, [this, proxy, call] {
    deliver(proxy, PromotionAnswer{call.Call, PromotionResult::Unknown, ""});
  });
  return true;
}

} // namespace rosemaryhinge::sessionworld

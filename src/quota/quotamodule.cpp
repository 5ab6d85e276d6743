#include "quota/quotamodule.h"

#include "quota/internal/holderorder.h"

#include <algorithm>

namespace rosemaryhinge {

bool QuotaModule::comesFirst(const Context &ctx, const FleetMap &fleet) {
  if (!fleet.listed())
    return false;
  const auto &order = fleet.order(ctx.Self.AvailabilityZone, detail::HolderOrderKey);
  return !order.empty() && order.front() == ctx.Self.Node;
}

void QuotaModule::apply(Context &ctx, const QuotaServices &services,
                        detail::QuotaLeaseKeeper::Change change) {
  using Change = detail::QuotaLeaseKeeper::Change;
  if (change == Change::None)
    return;
  const std::vector<LogField> fields = {{"availability_zone", ctx.Self.AvailabilityZone.str()}};
  if (change == Change::Lost) {
    ctx.emit(Count{"quota_leases_lost_total"});
    ctx.emit(Log{LogLevel::Warn, "quota lease lost", fields});
    deliver(ctx, services.Fleet, Holder.stop());
    return;
  }
  ctx.emit(Count{"quota_leases_taken_total"});
  ctx.emit(Log{LogLevel::Info, "quota lease taken", fields});
  switch (change) {
  case Change::Resumed:
    Holder.resume(ctx.Now);
    break;
  case Change::TakenOver:
    Holder.start(OfferedLevels, OfferedAt);
    break;
  case Change::TakenAtStart:
    Holder.start(ProcessStartedAt.value_or(ctx.Now));
    break;
  default:
    Holder.start(ctx.Now);
    break;
  }
}

void QuotaModule::onTimer(Context &ctx, const QuotaServices &services) {
  ProcessStartedAt = ProcessStartedAt.value_or(ctx.Now);
  Enabled = enabled(ctx.Self, services.Catalog);
  if (!Enabled)
    return;
  First = !Leaving && comesFirst(ctx, services.Fleet);
  if (!Leaving)
    apply(ctx, services, Lease.onTimer(ctx, First));
  if (Lease.failing(ctx.Now))
    handOver(ctx, services);
  if (Holder.active())
    deliver(ctx, services.Fleet, Holder.onTimer(ctx, services.Catalog, services.Fleet));
  Client.onTimer(ctx);
}

void QuotaModule::onAnswer(Context &ctx, const QuotaServices &services, const DirectoryAnswer &event) {
  apply(ctx, services, Lease.onAnswer(ctx, services.Era, event));
}

void QuotaModule::onRequest(Context &ctx, const QuotaServices &services, const NodeId &from,
                            const QuotaRequest &request) {
  if (Holder.active() && Lease.held(ctx.Now)) {
    deliver(ctx, services.Fleet, Holder.onRequest(ctx, services.Catalog, services.Fleet, from, request));
    return;
  }
  if (!Leaving)
    Lease.onAsked(ctx.Now);
  auto holder = Lease.holder(ctx.Now);
  if (holder == ctx.Self.Node)
    holder = NodeId();
  deliver(ctx, services.Fleet, {{from, {request.Number, 0, {}, true, holder}}});
}

void QuotaModule::onReply(Context &ctx, const QuotaServices &services, const NodeId &from,
                          const QuotaReply &reply) {
  Client.onReply(ctx, services.Fleet, from, reply);
  if (Holder.active() && Lease.held(ctx.Now))
    deliver(ctx, services.Fleet, Holder.onReply(ctx, services.Catalog, services.Fleet, from, reply));
}

void QuotaModule::onHandover(Context &ctx, const NodeId &from, const QuotaHandover &handover) {
  if (Leaving || handover.AvailabilityZone != ctx.Self.AvailabilityZone)
    return;
  ctx.emit(Log{LogLevel::Info, "quota lease offered", {{"peer", from.str()}}});
  OfferedLevels = handover.Levels;
  OfferedAt = ctx.Now;
  Lease.onHandover(handover.Revision, ctx.Now);
}

void QuotaModule::deliver(Context &ctx, const FleetMap &fleet, const detail::QuotaAnswers &answers) {
  for (const auto &it : answers)
    if (it.To == ctx.Self.Node)
      Client.onReply(ctx, fleet, it.To, it.Reply);
    else
      ctx.emit(SendToPeer{it.To, it.Reply});
}

void QuotaModule::sendRequests(Context &ctx, const QuotaServices &services) {
  // An answer of this proxy to its own sessions may make the next request due.
  for (auto requests = Client.takeRequests(ctx, services.Fleet); !requests.empty();
       requests = Client.takeRequests(ctx, services.Fleet))
    for (const auto &[to, request] : requests)
      if (to == ctx.Self.Node)
        onRequest(ctx, services, to, request);
      else
        ctx.emit(SendToPeer{to, request});
}

void QuotaModule::handOver(Context &ctx, const QuotaServices &services) {
  const auto revision = Lease.handOver(ctx.Now);
  if (!revision)
    return;
  const auto levels = Holder.levels();
  deliver(ctx, services.Fleet, Holder.stop());
  const auto &order = services.Fleet.order(ctx.Self.AvailabilityZone, detail::HolderOrderKey);
  const auto next =
      std::find_if(order.begin(), order.end(), [&](const NodeId &it) { return it != ctx.Self.Node; });
  ctx.emit(Count{"quota_leases_handed_over_total"});
  ctx.emit(Log{LogLevel::Info,
               "quota lease handed over",
               {{"availability_zone", ctx.Self.AvailabilityZone.str()},
                {"peer", next == order.end() ? "-" : next->str()}}});
  if (next != order.end())
    ctx.emit(SendToPeer{*next, QuotaHandover{ctx.Self.AvailabilityZone, *revision, levels}});
}

void QuotaModule::startLeaving(Context &ctx, const QuotaServices &services) {
  Leaving = true;
  handOver(ctx, services);
}

std::optional<TimePoint> QuotaModule::nextTimer() const {
  if (!Enabled)
    return std::nullopt;
  std::optional<TimePoint> out = Client.nextTimer();
  const auto earlier = [&out](std::optional<TimePoint> it) {
    if (it)
      out = out ? std::min(*out, *it) : it;
  };
  earlier(Holder.nextTimer());
  if (!Leaving)
    earlier(Lease.nextTimer(First));
  return out;
}

} // namespace rosemaryhinge

// Log positions that bound the staleness of reads: taken from this proxy's own statements, exchanged with
// other proxies, and queried from the primary on their behalf.

#include "sessions/sessionsmodule.h"

#include <algorithm>

namespace rosemaryhinge {

void SessionsModule::addSample(Context &ctx, SessionServices &services, PositionSample sample) {
  auto &service = Services[sample.Service];
  if (ctx.Self.PromotionFencing)
    service.Lease.confirm(sample.At.Term, sample.SentAt);
  const auto proven = service.Lease.provenUntil(sample.At.Term);
  if (!proven || *proven < sample.SentAt)
    service.UnprovenSample = sample;
  if (!proven)
    return;
  sample.SentAt = std::min(sample.SentAt, *proven);
  sample.PrimaryConfirmedAt = service.Lease.confirmedAt().value_or(sample.SentAt);
  service.Positions.add(sample.At, sample.SentAt);
  if (!service.OwnSample || sample.SentAt >= service.OwnSample->SentAt)
    service.OwnSample = sample;
  if (ctx.Self.PromotionFencing || PositionExchange::sharable(sample, ctx.Now))
    services.Exchange.onSample(ctx, sample);
}

void SessionsModule::onPositionRequest(Context &ctx, SessionServices &services, const NodeId &from,
                                       const PositionRequest &request) {
  const auto it = Services.find(request.Service);
  services.Exchange.onRequest(ctx, from, request, it == Services.end() ? std::nullopt : it->second.OwnSample);
  queryPrimaryForRequesters(ctx, services);
}

void SessionsModule::onPositionReply(Context &ctx, SessionServices &services, const NodeId &from,
                                     const PositionReply &reply) {
  const auto sample = services.Exchange.onReply(ctx, from, reply);
  if (!sample)
    return;
  confirmLease(ctx, services, sample->Service, sample->At.Term, sample->PrimaryConfirmedAt);
  auto &service = Services[sample->Service];
  if (const auto proven = service.Lease.provenUntil(sample->At.Term))
    service.Positions.add(sample->At, std::min(sample->SentAt, *proven));
  onCapacity(ctx, services);
}

void SessionsModule::queryPrimaryForRequesters(Context &ctx, SessionServices &services) {
  for (const auto &service : services.Exchange.servicesWithRequesters(ctx.Now)) {
    if (!ctx.Self.PromotionFencing)
      queryReplica(ctx, services, service);
    auto &proving = Services[service].PositionQueryLink;
    if (proving && services.Links.targetOf(*proving))
      continue;
    proving.reset();
    const auto primary = services.Catalog.primary(service);
    if (!primary || services.Links.health(*primary).suspect(ctx.Now))
      continue;
    const auto link = services.Links.acquire(*primary, {}, {}, ctx.Now);
    if (!link) {
      services.Links.openLinks(ctx, services.Catalog, *primary, 1, LinkPurpose::Control);
      continue;
    }
    proving = link;
    services.Links.send(ctx, *link, {BeginTransaction{}, RollbackTransaction{}});
    services.Links.release(ctx, *link);
  }
}

} // namespace rosemaryhinge

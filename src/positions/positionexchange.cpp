// Requests for primary positions between proxies.

#include "positions/positionexchange.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

/// Longer than PositionExchange::ReplyTimeout, after which a requester queries the primary itself.
constexpr Duration RequesterTimeout = 200ms;
constexpr std::size_t MaxRequesters = 1'000;

PositionReply replyTo(std::uint64_t number, const PositionSample &sample, TimePoint now) {
  return {number, sample.Service, sample.At, now - sample.SentAt, now - sample.PrimaryConfirmedAt};
}

} // namespace

bool PositionExchange::requestPending(const DatabaseId &service, TimePoint now) const {
  const auto it = Requests.find(service);
  return it != Requests.end() && now - it->second.SentAt < ReplyTimeout;
}

bool PositionExchange::request(Context &ctx, const FleetMap &fleet, const DatabaseId &service) {
  if (const auto it = Requests.find(service); it != Requests.end()) {
    if (ctx.Now - it->second.SentAt < ReplyTimeout)
      return true;
    BackoffUntil[it->second.To] = ctx.Now + PeerBackoff;
    ctx.emit(Count{"position_requests_unanswered_total"});
    Requests.erase(it);
    return false;
  }
  for (const auto &node : fleet.order(ctx.Self.AvailabilityZone, service.str())) {
    if (node == ctx.Self.Node)
      return false;
    if (const auto rest = BackoffUntil.find(node); rest != BackoffUntil.end() && ctx.Now < rest->second)
      continue;
    const auto number = ctx.nextNumber();
    Requests[service] = {number, node, ctx.Now};
    ctx.emit(Count{"position_requests_total"});
    ctx.emit(SendToPeer{node, PositionRequest{number, service}});
    return true;
  }
  return false;
}

std::optional<PositionSample> PositionExchange::onReply(Context &, const NodeId &from,
                                                        const PositionReply &reply) {
  BackoffUntil.erase(from);
  const auto it = Requests.find(reply.Service);
  if (it == Requests.end() || it->second.Number != reply.Number || it->second.To != from)
    return std::nullopt;
  // The peer computed Age after this request was sent, so subtracting Age from the send time never makes the
  // sample appear newer than it is.
  const PositionSample out{reply.Service, reply.At, it->second.SentAt - reply.Age,
                           it->second.SentAt - reply.ConfirmationAge};
  Requests.erase(it);
  return out;
}

void PositionExchange::onPeerLost(Context &ctx, const NodeId &node) {
  BackoffUntil[node] = ctx.Now + PeerBackoff;
  std::erase_if(Requests, [&](const auto &it) { return it.second.To == node; });
}

void PositionExchange::onRequest(Context &ctx, const NodeId &from, const PositionRequest &request,
                                 const std::optional<PositionSample> &newest) {
  if (newest && sharable(*newest, ctx.Now)) {
    ctx.emit(SendToPeer{from, replyTo(request.Number, *newest, ctx.Now)});
    return;
  }
  auto &requesters = Requesters[request.Service];
  if (requesters.size() < MaxRequesters)
    requesters.push_back({from, request.Number, ctx.Now});
}

void PositionExchange::onSample(Context &ctx, const PositionSample &sample) {
  const auto it = Requesters.find(sample.Service);
  if (it == Requesters.end())
    return;
  const auto requesters = std::move(it->second);
  Requesters.erase(it);
  for (const auto &one : requesters)
    if (ctx.Now - one.At < RequesterTimeout)
      ctx.emit(SendToPeer{one.Node, replyTo(one.Number, sample, ctx.Now)});
}

std::vector<DatabaseId> PositionExchange::servicesWithRequesters(TimePoint now) {
  std::vector<DatabaseId> out;
  for (auto it = Requesters.begin(); it != Requesters.end();) {
    std::erase_if(it->second, [&](const Requester &one) { return now - one.At >= RequesterTimeout; });
    if (it->second.empty()) {
      it = Requesters.erase(it);
    } else {
      out.push_back(it->first);
      ++it;
    }
  }
  return out;
}

} // namespace rosemaryhinge

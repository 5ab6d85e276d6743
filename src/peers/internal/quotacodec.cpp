// Quotas on the wire between proxies.

#include "peers/internal/quotacodec.h"

#include <cmath>

namespace rosemaryhinge::detail {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<void> encodeQuota(FlatBufferBuilder &builder, const QuotaRequest &it, wire::Message &type) {
  type = wire::Message::QuotaRequest;
  const auto workspace = builder.CreateString(it.Workspace.str());
  return wire::CreateQuotaRequest(builder, it.Number, workspace, it.Operations, it.FromHolder).Union();
}

Offset<void> encodeQuota(FlatBufferBuilder &builder, const QuotaReply &it, wire::Message &type) {
  type = wire::Message::QuotaReply;
  const auto holder = builder.CreateString(it.Holder.str());
  return wire::CreateQuotaReply(builder, it.Number, it.Granted, it.RetryAfter.count(), it.NotHolder, holder)
      .Union();
}

Offset<void> encodeQuota(FlatBufferBuilder &builder, const QuotaHandover &it, wire::Message &type) {
  type = wire::Message::QuotaHandover;
  std::vector<Offset<wire::QuotaLevel>> levels;
  levels.reserve(it.Levels.size());
  for (const auto &one : it.Levels)
    levels.push_back(wire::CreateQuotaLevel(builder, builder.CreateString(one.Workspace.str()), one.Tokens));
  const auto zone = builder.CreateString(it.AvailabilityZone.str());
  return wire::CreateQuotaHandover(builder, zone, it.Revision, builder.CreateVector(levels)).Union();
}

std::optional<PeerMessage> decodeQuota(const wire::Envelope &envelope, FrameReader &reader) {
  if (const auto *it = envelope.message_as_QuotaRequest())
    return QuotaRequest{it->number(), reader.id<WorkspaceId>(it->workspace()), it->operations(),
                        it->from_holder()};
  if (const auto *it = envelope.message_as_QuotaHandover())
    return QuotaHandover{reader.id<AvailabilityZone>(it->availability_zone()), it->revision(),
                         reader.list<QuotaLevel>(it->levels(), [&](const auto *one) {
                           if (!std::isfinite(one->tokens()) || one->tokens() < 0)
                             reader.refuse();
                           return QuotaLevel{reader.id<WorkspaceId>(one->workspace()), one->tokens()};
                         })};
  const auto *it = envelope.message_as_QuotaReply();
  if (it == nullptr)
    return std::nullopt;
  if (it->retry_after_us() < 0)
    reader.refuse();
  return QuotaReply{it->number(), it->granted(), Duration(it->retry_after_us()), it->not_holder(),
                    reader.id<NodeId>(it->holder())};
}

} // namespace rosemaryhinge::detail

// Commit fences on the wire between proxies.

#include "peers/internal/fencecodec.h"

namespace rosemaryhinge::detail {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<void> encodeFence(FlatBufferBuilder &builder, const CommitFenceRequest &it, wire::Message &type) {
  type = wire::Message::CommitFenceRequest;
  const auto service = builder.CreateString(it.Service.str());
  const auto successor = builder.CreateString(it.Successor.str());
  const auto former = builder.CreateString(it.Former.str());
  return wire::CreateCommitFenceRequest(builder, service, it.Token, successor, it.UpTo, former,
                                        it.StepDownFor)
      .Union();
}

Offset<void> encodeFence(FlatBufferBuilder &builder, const CommitFenceReply &it, wire::Message &type) {
  type = wire::Message::CommitFenceReply;
  const auto service = builder.CreateString(it.Service.str());
  const wire::Position acknowledged(it.Acknowledged.Term, it.Acknowledged.Lsn);
  const auto knownSince =
      it.KnownSince ? flatbuffers::Optional<std::uint64_t>(*it.KnownSince) : flatbuffers::nullopt;
  const auto &unreported = it.Unreported;
  const wire::Position byServer(unreported.Acknowledged.Term, unreported.Acknowledged.Lsn);
  return wire::CreateCommitFenceReply(builder, service, it.Token, &acknowledged, knownSince, &byServer,
                                      unreported.Unanswered, static_cast<wire::StepDownState>(it.StepDown),
                                      it.Update)
      .Union();
}

Offset<void> encodeFence(FlatBufferBuilder &builder, const CommitFenceEnd &it, wire::Message &type) {
  type = wire::Message::CommitFenceEnd;
  const auto service = builder.CreateString(it.Service.str());
  const auto promoted = builder.CreateString(it.Promoted.str());
  return wire::CreateCommitFenceEnd(builder, service, it.Token, promoted).Union();
}

std::optional<PeerMessage> decodeFence(const wire::Envelope &envelope, FrameReader &reader) {
  if (const auto *it = envelope.message_as_CommitFenceRequest())
    return CommitFenceRequest{reader.id<DatabaseId>(it->service()), it->token(),
                              reader.id<TargetId>(it->successor()), it->up_to(),
                              reader.id<TargetId>(it->former()),    it->step_down_for()};
  if (const auto *it = envelope.message_as_CommitFenceEnd())
    return CommitFenceEnd{reader.id<DatabaseId>(it->service()), it->token(),
                          reader.id<TargetId>(it->promoted())};
  const auto *it = envelope.message_as_CommitFenceReply();
  if (it == nullptr || it->acknowledged() == nullptr)
    return std::nullopt;
  if (it->step_down() > wire::StepDownState::MAX)
    return std::nullopt;
  const auto knownSince = it->known_since();
  CommitFenceReply out{reader.id<DatabaseId>(it->service()), it->token(),
                       *FrameReader::position(it->acknowledged()),
                       knownSince ? std::optional<std::uint64_t>(*knownSince) : std::nullopt};
  out.Unreported = {FrameReader::position(it->server_acknowledged()).value_or(Position()), it->unanswered()};
  out.StepDown = static_cast<StepDownState>(it->step_down());
  out.Update = it->update();
  return out;
}

} // namespace rosemaryhinge::detail

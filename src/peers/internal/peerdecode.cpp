// FlatBuffers frames to peer messages.

#include "peers/internal/changescodec.h"
#include "peers/internal/fencecodec.h"
#include "peers/internal/framereader.h"
#include "peers/internal/loancodec.h"
#include "peers/internal/quotacodec.h"
#include "peers/peercodec.h"

#include <cstring>
#include <peer_generated.h>
#include <vector>

namespace rosemaryhinge {

namespace {

constexpr flatbuffers::uoffset_t MaxDepth = 16;
/// A table takes at least 8 bytes of the frame.
constexpr flatbuffers::uoffset_t MaxTables = MaxPeerFrame / 8;
class Decoder : public detail::FrameReader {
public:
  using FrameReader::FrameReader;

  CallerRequest request(const wire::CallerRequest *it) {
    CallerRequest out;
    if (!need(it))
      return out;
    out.Id = RequestId{it->id()};
    out.Caller = id<CallerId>(it->caller());
    out.Database = id<DatabaseId>(it->database());
    out.Class = id<ClassName>(it->class_name());
    out.Statements = texts(it->statements());
    out.ReadOnly = it->read_only();
    out.Session = position(it->session());
    out.MaxStaleness = micros(it->max_staleness_us());
    out.IdempotencyKey = text(it->idempotency_key());
    out.Step = value(it->step(), TransactionStep::Rollback);
    out.Transaction = id<TransactionId>(it->transaction());
    return out;
  }

  std::vector<std::optional<std::string>> row(const wire::Row *it) {
    std::vector<std::optional<std::string>> out;
    const auto *absent = it->absent();
    const std::size_t width = it->cells() ? it->cells()->size() : 0;
    if (absent && absent->size() != width)
      refuse();
    if (width == 0 || !ok() || !spend(width * detail::ElementBytes))
      return out;
    out.reserve(width);
    for (flatbuffers::uoffset_t n = 0; n < width && ok(); ++n) {
      if (absent && absent->Get(n))
        out.emplace_back();
      else
        out.emplace_back(text(it->cells()->Get(n)));
    }
    return out;
  }

  StatementResult result(const wire::StatementResult *it) {
    StatementResult out;
    out.Columns = texts(it->columns());
    out.Rows = list<std::vector<std::optional<std::string>>>(it->rows(),
                                                             [this](const auto *one) { return row(one); });
    out.Affected = it->affected();
    return out;
  }

  Answer answer(const wire::ForwardAnswer *it) {
    if (const auto *success = it->answer_as_Success()) {
      Success out;
      out.Results =
          list<StatementResult>(success->results(), [this](const auto *one) { return result(one); });
      out.Session = position(success->session());
      out.ServedBy = id<TargetId>(success->served_by());
      out.ServedByReplica = success->served_by_replica();
      out.Replayed = success->replayed();
      out.Transaction = id<TransactionId>(success->transaction());
      return out;
    }
    Refusal out;
    const auto *refusal = it->answer_as_Refusal();
    if (!need(refusal))
      return out;
    out.Reason = value(refusal->reason(), RefusalReason::InvariantBroken);
    out.Ran = value(refusal->ran(), Ran::Unknown);
    out.RetryAfter = micros(refusal->retry_after_us());
    out.Message = text(refusal->message());
    return out;
  }

  std::vector<MemberUpdate>
  updates(const flatbuffers::Vector<flatbuffers::Offset<wire::MemberUpdate>> *members) {
    return list<MemberUpdate>(members, [this](const wire::MemberUpdate *it) {
      MemberUpdate out;
      out.Node = id<NodeId>(it->node());
      out.Incarnation = it->incarnation();
      out.State = value(it->state(), MemberUpdate::Kind::Leaving);
      out.Address = text(it->address());
      out.AvailabilityZone = id<AvailabilityZone>(it->availability_zone());
      out.Region = id<Region>(it->region());
      out.Release = text(it->release());
      out.Refutation = it->refutation();
      return out;
    });
  }

  TargetReport report(const wire::TargetReport *it) {
    TargetReport out;
    const auto *status = it->status();
    if (!need(status))
      return out;
    out.Target = id<TargetId>(it->target());
    out.Database = id<DatabaseId>(it->database());
    out.Age = Duration(it->age_us());
    out.Status.Role = value(status->role(), TargetRole::Replica);
    out.Status.RaisedTerm = status->raised_term();
    out.Status.Log = position(status->log()).value_or(Position{});
    out.Status.SincePrimary = Duration(status->since_primary_us());
    out.Status.Leaving = status->leaving();
    out.Status.Paused = status->paused();
    if (const auto *starts = status->history(); starts && spend(starts->size() * sizeof(TermStart)))
      for (const auto *one : *starts)
        out.Status.History.push_back({one->term(), one->start()});
    return out;
  }

  SettingsReport settingsReport(const wire::SettingsReport *it) {
    SettingsReport out;
    out.Round = it->round();
    out.Members = list<SettingsInForce>(it->members(), [this](const auto *one) {
      return SettingsInForce{id<NodeId>(one->node()), one->incarnation(), one->revision(),
                             Duration(one->since_us())};
    });
    out.Missing = nodes(it->missing());
    out.Final = it->final();
    return out;
  }

  std::optional<PeerMessage> message(const wire::Envelope &envelope) {
    switch (envelope.message_type()) {
    case wire::Message::ForwardRequest: {
      const auto *it = envelope.message_as_ForwardRequest();
      return ForwardRequest{RequestId{it->id()}, Duration(it->budget_us()), it->hops(), it->attempt(),
                            request(it->request())};
    }
    case wire::Message::ForwardAnswer: {
      const auto *it = envelope.message_as_ForwardAnswer();
      return ForwardAnswer{RequestId{it->id()}, answer(it)};
    }
    case wire::Message::Probe: {
      const auto *it = envelope.message_as_Probe();
      return Probe{it->sequence(), it->settings_revision(), updates(it->updates())};
    }
    case wire::Message::ProbeAck: {
      const auto *it = envelope.message_as_ProbeAck();
      return ProbeAck{it->sequence(), it->settings_revision(), updates(it->updates())};
    }
    case wire::Message::IndirectProbe: {
      const auto *it = envelope.message_as_IndirectProbe();
      return IndirectProbe{it->sequence(), id<NodeId>(it->subject())};
    }
    case wire::Message::MembersRequest:
      return MembersRequest{};
    case wire::Message::MembersReply:
      return MembersReply{updates(envelope.message_as_MembersReply()->members())};
    case wire::Message::SettingsPush: {
      const auto *it = envelope.message_as_SettingsPush();
      SettingsPush out{it->round(),      it->revision(),  it->base(),
                       it->keep_front(), it->keep_back(), it->checksum(),
                       text(it->tree()), it->version(),   {}};
      out.Descendants = nodes(it->descendants());
      return out;
    }
    case wire::Message::SettingsAck: {
      const auto *it = envelope.message_as_SettingsAck();
      return SettingsAck{it->round(), it->revision(), it->in_force(), nodes(it->missing()), it->final()};
    }
    case wire::Message::SettingsRequest:
      return SettingsRequest{envelope.message_as_SettingsRequest()->have()};
    case wire::Message::TargetReports:
      return TargetReports{list<TargetReport>(envelope.message_as_TargetReports()->reports(),
                                              [this](const auto *one) { return report(one); })};
    case wire::Message::PrimaryContactRequest: {
      const auto *it = envelope.message_as_PrimaryContactRequest();
      return PrimaryContactRequest{id<DatabaseId>(it->database()), it->term()};
    }
    case wire::Message::PrimaryContactReply: {
      const auto *it = envelope.message_as_PrimaryContactReply();
      return PrimaryContactReply{id<DatabaseId>(it->database()), it->term(), it->holds_slot(),
                                 Duration(it->since_contact_us())};
    }
    case wire::Message::ObjectChanged: {
      const auto *it = envelope.message_as_ObjectChanged();
      return ObjectChanged{text(it->key()), it->version(), text(it->value())};
    }
    case wire::Message::JournalRecords: {
      const auto *it = envelope.message_as_JournalRecords();
      return JournalRecords{it->batch(), texts(it->records())};
    }
    case wire::Message::JournalAck:
      return JournalAck{envelope.message_as_JournalAck()->batch()};
    case wire::Message::SettingsQuery: {
      const auto *it = envelope.message_as_SettingsQuery();
      return SettingsQuery{it->round(), nodes(it->descendants())};
    }
    case wire::Message::SettingsReport:
      return settingsReport(envelope.message_as_SettingsReport());
    case wire::Message::JournalWritten:
      return JournalWritten{
          list<JournalMark>(envelope.message_as_JournalWritten()->marks(), [this](const auto *one) {
            return JournalMark{id<NodeId>(one->node()), one->incarnation(), one->first(), one->last()};
          })};
    case wire::Message::PositionRequest: {
      const auto *it = envelope.message_as_PositionRequest();
      return PositionRequest{it->number(), id<DatabaseId>(it->service())};
    }
    case wire::Message::PositionReply: {
      const auto *it = envelope.message_as_PositionReply();
      if (it->at() == nullptr || it->age_us() < 0 || it->confirmation_age_us() < 0)
        return std::nullopt;
      return PositionReply{it->number(),
                           id<DatabaseId>(it->service()),
                           {it->at()->term(), it->at()->lsn()},
                           Duration(it->age_us()),
                           Duration(it->confirmation_age_us())};
    }
    case wire::Message::ChangesRequest:
    case wire::Message::ChangesReply:
      return detail::decodeChanges(envelope, *this);
    case wire::Message::QuotaRequest:
    case wire::Message::QuotaReply:
    case wire::Message::QuotaHandover:
      return detail::decodeQuota(envelope, *this);
    case wire::Message::CommitFenceRequest:
    case wire::Message::CommitFenceReply:
    case wire::Message::CommitFenceEnd:
      return detail::decodeFence(envelope, *this);
    default:
      return detail::decodeLoan(envelope, *this);
    }
  }
};

} // namespace

std::string_view toString(PeerDecodeError error) {
  switch (error) {
  case PeerDecodeError::TooLarge:
    return "too_large";
  case PeerDecodeError::Malformed:
    return "malformed";
  case PeerDecodeError::UnknownProtocol:
    return "unknown_protocol";
  case PeerDecodeError::UnknownMessage:
    break;
  }
  return "unknown_message";
}

std::variant<PeerEnvelope, PeerDecodeError> decodePeer(std::string_view frame) {
  if (frame.size() > MaxPeerFrame)
    return PeerDecodeError::TooLarge;
  // Offsets in a frame count from its length field on, and its 8-byte values are aligned to that.
  std::vector<std::uint64_t> aligned((frame.size() + PeerLengthBytes) / sizeof(std::uint64_t) + 1);
  auto *bytes = reinterpret_cast<std::uint8_t *>(aligned.data());
  const auto length = static_cast<std::uint32_t>(frame.size());
  std::memcpy(bytes, &length, PeerLengthBytes);
  std::memcpy(bytes + PeerLengthBytes, frame.data(), frame.size());

  flatbuffers::Verifier verifier(bytes, frame.size() + PeerLengthBytes, MaxDepth, MaxTables);
  if (!wire::VerifySizePrefixedEnvelopeBuffer(verifier))
    return PeerDecodeError::Malformed;
  const auto &envelope = *wire::GetSizePrefixedEnvelope(bytes);
  if (envelope.protocol() != PeerProtocol)
    return PeerDecodeError::UnknownProtocol;
  if (envelope.message_type() > wire::Message::MAX)
    return PeerDecodeError::UnknownMessage;
  if (envelope.message_type() == wire::Message::NONE || !envelope.message())
    return PeerDecodeError::Malformed;
  Decoder decoder(frame.size());
  PeerEnvelope out{decoder.id<NodeId>(envelope.from()),
                   decoder.id<NodeId>(envelope.to()),
                   {},
                   decoder.text(envelope.from_address())};
  auto message = decoder.message(envelope);
  if (!message || !decoder.ok() || out.From.empty() || out.To.empty())
    return PeerDecodeError::Malformed;
  out.Message = std::move(*message);
  return out;
}

} // namespace rosemaryhinge

// Peer messages to FlatBuffers.

#include "base/overloaded.h"
#include "peers/peercodec.h"

#include <peer_generated.h>

namespace rosemaryhinge {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::Vector;
using Texts = Offset<Vector<Offset<flatbuffers::String>>>;

constexpr std::size_t FirstAllocation = 1024;

class Encoder {
public:
  std::string encode(const PeerEnvelope &envelope) {
    const auto from = text(envelope.From);
    const auto to = text(envelope.To);
    const auto address = text(envelope.FromAddress);
    wire::Message type = wire::Message::NONE;
    const Offset<void> message = std::visit([&](const auto &it) { return put(it, type); }, envelope.Message);
    B.FinishSizePrefixed(wire::CreateEnvelope(B, PeerProtocol, from, to, type, message, address));
    if (B.GetSize() > MaxPeerFrame + PeerLengthBytes)
      return {};
    return {reinterpret_cast<const char *>(B.GetBufferPointer()), B.GetSize()};
  }

private:
  Offset<flatbuffers::String> text(const std::string &value) { return B.CreateString(value); }
  template <typename Tag> Offset<flatbuffers::String> text(const TextId<Tag> &id) { return text(id.str()); }

  Texts texts(const std::vector<std::string> &values) { return B.CreateVectorOfStrings(values); }
  Texts nodes(const std::vector<NodeId> &values) {
    std::vector<Offset<flatbuffers::String>> out;
    out.reserve(values.size());
    for (const auto &it : values)
      out.push_back(text(it));
    return B.CreateVector(out);
  }

  static wire::Position position(Position value) { return {value.Term, value.Lsn}; }
  static flatbuffers::Optional<std::int64_t> micros(const std::optional<Duration> &value) {
    return value ? flatbuffers::Optional<std::int64_t>(value->count()) : flatbuffers::nullopt;
  }

  Offset<wire::CallerRequest> request(const CallerRequest &it) {
    const auto caller = text(it.Caller);
    const auto database = text(it.Database);
    const auto name = text(it.Class);
    const auto statements = texts(it.Statements);
    const auto key = text(it.IdempotencyKey);
    const auto transaction = text(it.Transaction);
    const auto session = position(it.Session.value_or(Position{}));
    return wire::CreateCallerRequest(B, it.Id.Value, caller, database, name, statements, it.ReadOnly,
                                     it.Session ? &session : nullptr, micros(it.MaxStaleness), key,
                                     static_cast<std::uint8_t>(it.Step), transaction);
  }

  Offset<wire::Row> row(const std::vector<std::optional<std::string>> &cells) {
    std::vector<Offset<flatbuffers::String>> values;
    std::vector<std::uint8_t> absent;
    values.reserve(cells.size());
    for (std::size_t n = 0; n < cells.size(); ++n) {
      if (!cells[n])
        absent.resize(cells.size());
      if (!cells[n])
        absent[n] = 1;
      values.push_back(cells[n] ? text(*cells[n]) : B.CreateString(""));
    }
    const auto flags = absent.empty() ? Offset<Vector<std::uint8_t>>() : B.CreateVector(absent);
    return wire::CreateRow(B, B.CreateVector(values), flags);
  }

  Offset<wire::StatementResult> result(const StatementResult &it) {
    std::vector<Offset<wire::Row>> rows;
    rows.reserve(it.Rows.size());
    for (const auto &cells : it.Rows)
      rows.push_back(row(cells));
    const auto columns = texts(it.Columns);
    return wire::CreateStatementResult(B, columns, B.CreateVector(rows), it.Affected);
  }

  Offset<wire::Success> success(const Success &it) {
    std::vector<Offset<wire::StatementResult>> results;
    results.reserve(it.Results.size());
    for (const auto &one : it.Results)
      results.push_back(result(one));
    const auto list = B.CreateVector(results);
    const auto server = text(it.ServedBy);
    const auto transaction = text(it.Transaction);
    const auto session = position(it.Session.value_or(Position{}));
    return wire::CreateSuccess(B, list, it.Session ? &session : nullptr, server, it.ServedByReplica,
                               it.Replayed, transaction);
  }

  Offset<wire::Refusal> refusal(const Refusal &it) {
    return wire::CreateRefusal(B, static_cast<std::uint8_t>(it.Reason), static_cast<std::uint8_t>(it.Ran),
                               micros(it.RetryAfter), text(it.Message));
  }

  Offset<Vector<Offset<wire::MemberUpdate>>> updates(const std::vector<MemberUpdate> &members) {
    std::vector<Offset<wire::MemberUpdate>> out;
    out.reserve(members.size());
    for (const auto &it : members) {
      const auto node = text(it.Node);
      const auto address = text(it.Address);
      const auto az = text(it.AvailabilityZone);
      const auto region = text(it.Region);
      const auto release = text(it.Release);
      out.push_back(wire::CreateMemberUpdate(B, node, it.Incarnation, static_cast<std::uint8_t>(it.State),
                                             address, az, region, release, it.Refutation));
    }
    return B.CreateVector(out);
  }

  Offset<wire::TargetReport> report(const TargetReport &it) {
    std::vector<wire::TermStart> starts;
    starts.reserve(it.Status.History.size());
    for (const auto &one : it.Status.History)
      starts.emplace_back(one.Term, one.Start);
    const auto history = B.CreateVectorOfStructs(starts);
    const auto log = position(it.Status.Log);
    const auto status =
        wire::CreateTargetStatus(B, static_cast<std::uint8_t>(it.Status.Role), it.Status.RaisedTerm, &log,
                                 it.Status.SincePrimary.count(), it.Status.Leaving, history);
    const auto target = text(it.Target);
    return wire::CreateTargetReport(B, target, text(it.Database), status, it.Age.count());
  }

  Offset<void> put(const ForwardRequest &it, wire::Message &type) {
    type = wire::Message::ForwardRequest;
    return wire::CreateForwardRequest(B, it.Id.Value, it.Budget.count(), it.Hops, request(it.Request))
        .Union();
  }
  Offset<void> put(const ForwardAnswer &it, wire::Message &type) {
    type = wire::Message::ForwardAnswer;
    const auto kind =
        std::holds_alternative<Success>(it.Answer) ? wire::Answer::Success : wire::Answer::Refusal;
    const auto answer = std::visit(Overloaded{[&](const Success &one) { return success(one).Union(); },
                                              [&](const Refusal &one) { return refusal(one).Union(); }},
                                   it.Answer);
    return wire::CreateForwardAnswer(B, it.Id.Value, kind, answer).Union();
  }
  Offset<void> put(const Probe &it, wire::Message &type) {
    type = wire::Message::Probe;
    return wire::CreateProbe(B, it.Sequence, it.SettingsRevision, updates(it.Updates)).Union();
  }
  Offset<void> put(const ProbeAck &it, wire::Message &type) {
    type = wire::Message::ProbeAck;
    return wire::CreateProbeAck(B, it.Sequence, it.SettingsRevision, updates(it.Updates)).Union();
  }
  Offset<void> put(const IndirectProbe &it, wire::Message &type) {
    type = wire::Message::IndirectProbe;
    return wire::CreateIndirectProbe(B, it.Sequence, text(it.Subject)).Union();
  }
  Offset<void> put(const MembersRequest &, wire::Message &type) {
    type = wire::Message::MembersRequest;
    return wire::CreateMembersRequest(B).Union();
  }
  Offset<void> put(const MembersReply &it, wire::Message &type) {
    type = wire::Message::MembersReply;
    return wire::CreateMembersReply(B, updates(it.Members)).Union();
  }
  Offset<void> put(const SettingsPush &it, wire::Message &type) {
    type = wire::Message::SettingsPush;
    const auto tree = text(it.Tree);
    return wire::CreateSettingsPush(B, it.Round, it.Revision, it.Base, it.KeepFront, it.KeepBack, it.Checksum,
                                    tree, it.Version, nodes(it.Descendants))
        .Union();
  }
  Offset<void> put(const SettingsAck &it, wire::Message &type) {
    type = wire::Message::SettingsAck;
    return wire::CreateSettingsAck(B, it.Round, it.Revision, it.InForce, nodes(it.Missing), it.Final).Union();
  }
  Offset<void> put(const SettingsRequest &it, wire::Message &type) {
    type = wire::Message::SettingsRequest;
    return wire::CreateSettingsRequest(B, it.Have).Union();
  }
  Offset<void> put(const TargetReports &it, wire::Message &type) {
    type = wire::Message::TargetReports;
    std::vector<Offset<wire::TargetReport>> out;
    out.reserve(it.Reports.size());
    for (const auto &one : it.Reports)
      out.push_back(report(one));
    return wire::CreateTargetReports(B, B.CreateVector(out)).Union();
  }
  Offset<void> put(const PrimaryContactRequest &it, wire::Message &type) {
    type = wire::Message::PrimaryContactRequest;
    return wire::CreatePrimaryContactRequest(B, text(it.Database), it.Term).Union();
  }
  Offset<void> put(const PrimaryContactReply &it, wire::Message &type) {
    type = wire::Message::PrimaryContactReply;
    return wire::CreatePrimaryContactReply(B, text(it.Database), it.Term, it.HoldsSlot,
                                           it.SinceContact.count())
        .Union();
  }
  Offset<void> put(const ObjectChanged &it, wire::Message &type) {
    type = wire::Message::ObjectChanged;
    const auto key = text(it.Key);
    return wire::CreateObjectChanged(B, key, it.Version, text(it.Value)).Union();
  }
  Offset<void> put(const JournalRecords &it, wire::Message &type) {
    type = wire::Message::JournalRecords;
    return wire::CreateJournalRecords(B, it.Batch, texts(it.Records)).Union();
  }
  Offset<void> put(const JournalAck &it, wire::Message &type) {
    type = wire::Message::JournalAck;
    return wire::CreateJournalAck(B, it.Batch).Union();
  }

  Offset<void> put(const SettingsQuery &it, wire::Message &type) {
    type = wire::Message::SettingsQuery;
    return wire::CreateSettingsQuery(B, it.Round, nodes(it.Descendants)).Union();
  }
  Offset<void> put(const SettingsReport &it, wire::Message &type) {
    type = wire::Message::SettingsReport;
    std::vector<Offset<wire::SettingsInForce>> out;
    out.reserve(it.Members.size());
    for (const auto &one : it.Members)
      out.push_back(
          wire::CreateSettingsInForce(B, text(one.Node), one.Incarnation, one.Revision, one.Since.count()));
    const auto members = B.CreateVector(out);
    return wire::CreateSettingsReport(B, it.Round, members, nodes(it.Missing), it.Final).Union();
  }
  Offset<void> put(const JournalWritten &it, wire::Message &type) {
    type = wire::Message::JournalWritten;
    std::vector<Offset<wire::JournalMark>> out;
    out.reserve(it.Marks.size());
    for (const auto &one : it.Marks)
      out.push_back(wire::CreateJournalMark(B, text(one.Node), one.Incarnation, one.First, one.Last));
    return wire::CreateJournalWritten(B, B.CreateVector(out)).Union();
  }

  FlatBufferBuilder B{FirstAllocation};
};

} // namespace

std::string encodePeer(const PeerEnvelope &envelope) { return Encoder().encode(envelope); }

} // namespace rosemaryhinge

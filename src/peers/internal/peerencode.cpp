// Peer messages to FlatBuffers.

#include "base/overloaded.h"
#include "peers/internal/changescodec.h"
#include "peers/internal/fencecodec.h"
#include "peers/internal/loancodec.h"
#include "peers/internal/quotacodec.h"
#include "peers/peercodec.h"

#include <peer_generated.h>

namespace rosemaryhinge {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::Vector;
using Texts = Offset<Vector<Offset<flatbuffers::String>>>;

constexpr std::size_t FirstAllocation = 1024;

/// Messages are taken apart with structured bindings, so that a field which the schema lacks does not
/// compile.
class Encoder {
public:
  std::string encode(const PeerEnvelope &envelope) {
    const auto from = text(envelope.From);
    const auto to = text(envelope.To);
    const auto address = text(envelope.FromAddress);
    wire::Message type = wire::Message::NONE;
    const Offset<void> message = std::visit(
        [&](const auto &it) {
          if constexpr (requires { detail::encodeLoan(B, it, type); })
            return detail::encodeLoan(B, it, type);
          else if constexpr (requires { detail::encodeChanges(B, it, type); })
            return detail::encodeChanges(B, it, type);
          else if constexpr (requires { detail::encodeQuota(B, it, type); })
            return detail::encodeQuota(B, it, type);
          else if constexpr (requires { detail::encodeFence(B, it, type); })
            return detail::encodeFence(B, it, type);
          else
            return put(it, type);
        },
        envelope.Message);
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
    // The deadline is a time of this node's clock.
    const auto &[id, caller, database, name, statements, readOnly, session, staleness, key, ignoredDeadline,
                 step, transaction] = it;
    const auto callerText = text(caller);
    const auto databaseText = text(database);
    const auto nameText = text(name);
    const auto list = texts(statements);
    const auto keyText = text(key);
    const auto transactionText = text(transaction);
    const auto at = position(session.value_or(Position{}));
    return wire::CreateCallerRequest(B, id.Value, callerText, databaseText, nameText, list, readOnly,
                                     session ? &at : nullptr, micros(staleness), keyText,
                                     static_cast<std::uint8_t>(step), transactionText);
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
    const auto &[columns, rows, affected] = it;
    std::vector<Offset<wire::Row>> list;
    list.reserve(rows.size());
    for (const auto &cells : rows)
      list.push_back(row(cells));
    const auto names = texts(columns);
    return wire::CreateStatementResult(B, names, B.CreateVector(list), affected);
  }

  Offset<wire::Success> success(const Success &it) {
    const auto &[results, session, servedBy, byReplica, replayed, transaction] = it;
    std::vector<Offset<wire::StatementResult>> list;
    list.reserve(results.size());
    for (const auto &one : results)
      list.push_back(result(one));
    const auto resultList = B.CreateVector(list);
    const auto server = text(servedBy);
    const auto transactionText = text(transaction);
    const auto at = position(session.value_or(Position{}));
    return wire::CreateSuccess(B, resultList, session ? &at : nullptr, server, byReplica, replayed,
                               transactionText);
  }

  Offset<wire::Refusal> refusal(const Refusal &it) {
    const auto &[reason, ran, retryAfter, message] = it;
    return wire::CreateRefusal(B, static_cast<std::uint8_t>(reason), static_cast<std::uint8_t>(ran),
                               micros(retryAfter), text(message));
  }

  Offset<Vector<Offset<wire::MemberUpdate>>> updates(const std::vector<MemberUpdate> &members) {
    std::vector<Offset<wire::MemberUpdate>> out;
    out.reserve(members.size());
    for (const auto &[node, incarnation, refutation, state, address, az, region, release] : members) {
      const auto nodeText = text(node);
      const auto addressText = text(address);
      const auto azText = text(az);
      const auto regionText = text(region);
      const auto releaseText = text(release);
      out.push_back(wire::CreateMemberUpdate(B, nodeText, incarnation, static_cast<std::uint8_t>(state),
                                             addressText, azText, regionText, releaseText, refutation));
    }
    return B.CreateVector(out);
  }

  Offset<wire::TargetReport> report(const TargetReport &it) {
    const auto &[target, database, status, age] = it;
    const auto &[role, raised, log, since, leaving, history, paused] = status;
    std::vector<wire::TermStart> starts;
    starts.reserve(history.size());
    for (const auto &one : history)
      starts.emplace_back(one.Term, one.Start);
    const auto list = B.CreateVectorOfStructs(starts);
    const auto at = position(log);
    const auto state = wire::CreateTargetStatus(B, static_cast<std::uint8_t>(role), raised, &at,
                                                since.count(), leaving, list, paused);
    const auto targetText = text(target);
    return wire::CreateTargetReport(B, targetText, text(database), state, age.count());
  }

  Offset<void> put(const ForwardRequest &it, wire::Message &type) {
    type = wire::Message::ForwardRequest;
    const auto &[id, budget, hops, attempt, inner] = it;
    return wire::CreateForwardRequest(B, id.Value, budget.count(), hops, attempt, request(inner)).Union();
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
    const auto &[sequence, revision, members] = it;
    return wire::CreateProbe(B, sequence, revision, updates(members)).Union();
  }
  Offset<void> put(const ProbeAck &it, wire::Message &type) {
    type = wire::Message::ProbeAck;
    const auto &[sequence, revision, members] = it;
    return wire::CreateProbeAck(B, sequence, revision, updates(members)).Union();
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
    const auto &[round, revision, base, front, back, checksum, tree, version, descendants] = it;
    const auto treeText = text(tree);
    return wire::CreateSettingsPush(B, round, revision, base, front, back, checksum, treeText, version,
                                    nodes(descendants))
        .Union();
  }
  Offset<void> put(const SettingsAck &it, wire::Message &type) {
    type = wire::Message::SettingsAck;
    const auto &[round, revision, inForce, missing, last] = it;
    return wire::CreateSettingsAck(B, round, revision, inForce, nodes(missing), last).Union();
  }
  Offset<void> put(const SettingsRequest &it, wire::Message &type) {
    type = wire::Message::SettingsRequest;
    return wire::CreateSettingsRequest(B, it.KnownRevision).Union();
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
    const auto &[database, term, holdsSlot, since] = it;
    return wire::CreatePrimaryContactReply(B, text(database), term, holdsSlot, since.count()).Union();
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

  Offset<void> put(const PositionRequest &it, wire::Message &type) {
    type = wire::Message::PositionRequest;
    return wire::CreatePositionRequest(B, it.Number, text(it.Service)).Union();
  }
  Offset<void> put(const PositionReply &it, wire::Message &type) {
    type = wire::Message::PositionReply;
    const wire::Position at(it.At.Term, it.At.Lsn);
    return wire::CreatePositionReply(B, it.Number, text(it.Service), &at, it.Age.count(),
                                     it.ConfirmationAge.count())
        .Union();
  }

  FlatBufferBuilder B{FirstAllocation};
};

} // namespace

std::string encodePeer(const PeerEnvelope &envelope) { return Encoder().encode(envelope); }

} // namespace rosemaryhinge

// Tests of the peer codec.

#include "peers/peercodec.h"

#include "net/tests/corrupt.h"

#include <doctest/doctest.h>
#include <flatbuffers/flatbuffers.h>

#include <cstring>

using namespace rosemaryhinge;

namespace {

std::string payload(const std::string &frame) { return frame.substr(PeerLengthBytes); }

class Samples {
public:
  explicit Samples(std::uint64_t seed) : Random(seed) {}

  std::uint64_t number() { return Random() >> (Random() % 64); }
  bool flag() { return Random() % 2 == 0; }
  std::string text() {
    std::string out(Random() % 20, ' ');
    for (auto &it : out)
      it = static_cast<char>(Random());
    return out;
  }
  template <typename F> auto list(F make) {
    std::vector<decltype(make())> out;
    for (auto n = Random() % 4; n > 0; --n)
      out.push_back(make());
    return out;
  }
  Duration duration() { return Duration(static_cast<std::int64_t>(number() >> 1)); }
  std::vector<std::string> texts() {
    return list([&] { return text(); });
  }
  std::vector<NodeId> nodes() {
    return list([&] { return NodeId(text()); });
  }
  Position position() { return {number(), number()}; }

  CallerRequest request() {
    CallerRequest out;
    out.Id = RequestId{number()};
    out.Caller = CallerId(text());
    out.Database = DatabaseId(text());
    out.Class = ClassName(text());
    out.Statements = texts();
    out.ReadOnly = flag();
    if (flag())
      out.Session = position();
    if (flag())
      out.MaxStaleness = duration();
    out.IdempotencyKey = text();
    out.Step = static_cast<TransactionStep>(Random() % 5);
    out.Transaction = TransactionId(text());
    return out;
  }
  StatementResult result() {
    StatementResult out;
    out.Columns = texts();
    out.Rows = list([&] { return list([&] { return flag() ? std::optional(text()) : std::nullopt; }); });
    out.Affected = number();
    return out;
  }
  Answer answer() {
    if (flag())
      return Refusal{static_cast<RefusalReason>(Random() % RefusalReasonCount),
                     static_cast<Ran>(Random() % 3), flag() ? std::optional(duration()) : std::nullopt,
                     text()};
    return Success{list([&] { return result(); }),
                   flag() ? std::optional(position()) : std::nullopt,
                   TargetId(text()),
                   flag(),
                   flag(),
                   TransactionId(text())};
  }
  std::vector<MemberUpdate> members() {
    return list([&] {
      return MemberUpdate{NodeId(text()),
                          number(),
                          static_cast<std::uint32_t>(Random()),
                          static_cast<MemberUpdate::Kind>(Random() % 4),
                          text(),
                          AvailabilityZone(text()),
                          Region(text()),
                          text()};
    });
  }
  TargetReport report() {
    return {TargetId(text()), DatabaseId(text()),
            TargetStatus{static_cast<TargetRole>(Random() % 2), number(), position(), duration(), flag(),
                         list([&] {
                           return TermStart{number(), number()};
                         }),
                         flag()},
            duration()};
  }
  DirectoryKind kindOfObject() { return flag() ? DirectoryKind::Configuration : DirectoryKind::Servers; }
  DatabaseRoute route() {
    DatabaseRoute out;
    out.Database = text();
    out.Service = DatabaseId(text());
    out.Reads = static_cast<Consistency>(Random() % 3);
    out.StatementTimeout = duration();
    out.LatencyTarget = duration();
    out.MaxStaleness = duration();
    out.Priority = static_cast<std::uint32_t>(Random());
    out.Anonymous = flag();
    return out;
  }
  KeyDigest digest() {
    KeyDigest out;
    for (auto &it : out.Bytes)
      it = static_cast<std::uint8_t>(Random());
    return out;
  }
  Workspace workspace() {
    return {WorkspaceId(text()), list([&] { return digest(); }), static_cast<std::uint32_t>(Random()),
            static_cast<double>(number()), static_cast<double>(number())};
  }
  DirectoryObject object() {
    switch (Random() % 3) {
    case 0: {
      Configuration out;
      out.Version = number();
      out.Routes = list([&] { return route(); });
      out.Services = list([&] {
        return ServiceLimits{DatabaseId(text()), static_cast<std::uint32_t>(Random()),
                             static_cast<std::uint32_t>(Random())};
      });
      out.TransactionIdle = duration();
      if (flag())
        out.Workspaces = list([&] { return workspace(); });
      return {text(), false, out};
    }
    case 1: {
      ServerEntry out{
          TargetId(text()), DatabaseId(text()), text(),  AvailabilityZone(text()), std::nullopt, flag(),
          number(),         number(),           number()};
      if (flag())
        out.Role = flag() ? TargetRole::Primary : TargetRole::Replica;
      return {text(), false, out};
    }
    default:
      return {text(), true, UnreadableObject{}};
    }
  }
  LoanId loan() { return {number(), number()}; }
  std::optional<Position> maybePosition() { return flag() ? std::optional(position()) : std::nullopt; }
  LinkCommand command() {
    switch (Random() % 4) {
    case 0:
      return BeginTransaction{flag(), maybePosition()};
    case 1:
      return RollbackTransaction{};
    case 2:
      return RunStatement{text(), ExecuteStatement{{}, text()}, maybePosition()};
    default:
      return RunStatement{text(), text(), maybePosition()};
    }
  }
  PeerMessage loanMessage(std::size_t kind) {
    switch (kind) {
    case 21:
      return LoanRequest{loan(), TargetId(text()), static_cast<std::uint32_t>(Random()), WorkspaceId(text())};
    case 22:
      return LoanQueued{loan()};
    case 23:
      return LoanGrant{loan()};
    case 24: {
      LoanCommands out{loan(), {}, std::nullopt, list([&] { return command(); })};
      for (const auto &name : texts())
        out.Values[name] = text();
      if (flag())
        out.Shape = PreparedShape{flag() ? AccessMode::Read : AccessMode::Write, text()};
      return out;
    }
    case 25: {
      const auto state = static_cast<TransactionState>(Random() % 3);
      if (flag())
        return LoanReply{loan(),
                         StatementRejection{static_cast<Rejection>(Random() % RejectionCount), text()}, state,
                         maybePosition()};
      return LoanReply{loan(), StatementResultRows{texts(), text()}, state, maybePosition()};
    }
    default:
      return LoanEnd{loan(), static_cast<LoanEndReason>(Random() % LoanEndReasonCount)};
    }
  }
  PeerMessage message(std::size_t kind) {
    const auto small = [&] { return static_cast<std::uint32_t>(Random()); };
    switch (kind) {
    case 0:
      return ForwardRequest{RequestId{number()}, duration(), small(), number(), request()};
    case 1:
      return ForwardAnswer{RequestId{number()}, answer()};
    case 2:
      return Probe{number(), number(), members()};
    case 3:
      return ProbeAck{number(), number(), members()};
    case 4:
      return IndirectProbe{number(), NodeId(text())};
    case 5:
      return MembersRequest{};
    case 6:
      return MembersReply{members()};
    case 7:
      return SettingsPush{number(), number(), number(), small(), small(),
                          number(), text(),   number(), nodes()};
    case 8:
      return SettingsAck{number(), number(), small(), nodes(), flag()};
    case 9:
      return SettingsRequest{number()};
    case 10:
      return TargetReports{list([&] { return report(); })};
    case 11:
      return PrimaryContactRequest{DatabaseId(text()), number()};
    case 12:
      return PrimaryContactReply{DatabaseId(text()), number(), flag(), duration()};
    case 13:
      return ObjectChanged{text(), number(), text()};
    case 14:
      return JournalRecords{number(), texts()};
    case 15:
      return JournalAck{number()};
    case 16:
      return SettingsQuery{number(), nodes()};
    case 17:
      return SettingsReport{number(), list([&] {
                              return SettingsInForce{NodeId(text()), number(), number(), duration()};
                            }),
                            nodes(), flag()};
    case 18:
      return JournalWritten{list([&] { return JournalMark{NodeId(text()), number(), number(), number()}; })};
    case 19:
      return PositionRequest{number(), DatabaseId(text())};
    case 20:
      return PositionReply{number(), DatabaseId(text()), Position{number(), number()}, duration(),
                           duration()};
    case 27:
      return ChangesRequest{number(), kindOfObject(), number(), duration()};
    case 28:
      return ChangesReply{number(),
                          kindOfObject(),
                          number(),
                          duration(),
                          flag(),
                          list([&] { return object(); }),
                          flag() ? std::optional(flag() ? duration() : -duration()) : std::nullopt};
    case 29:
      return QuotaRequest{number(), WorkspaceId(text()), small(), flag()};
    case 30:
      return QuotaReply{number(), small(), duration(), flag(), NodeId(text())};
    case 31:
      return QuotaHandover{AvailabilityZone(text()), number(), list([&] {
                             return QuotaLevel{WorkspaceId(text()), static_cast<double>(number())};
                           })};
    case 32:
      return CommitFenceRequest{DatabaseId(text()), number(),         TargetId(text()),
                                number(),           TargetId(text()), number()};
    case 33:
      return CommitFenceReply{DatabaseId(text()),
                              number(),
                              position(),
                              flag() ? std::optional(number()) : std::nullopt,
                              {position(), flag()},
                              static_cast<StepDownState>(small() % 3),
                              flag()};
    case 34:
      return CommitFenceEnd{DatabaseId(text()), number(), TargetId(text())};
    default:
      return loanMessage(kind);
    }
  }

private:
  std::mt19937_64 Random;
};

constexpr std::size_t Kinds = std::variant_size_v<PeerMessage>;

} // namespace

// Equal messages encode to equal bytes, so a second encoding compares every field.
TEST_CASE("every message round trips") {
  static_assert(Kinds == 35, "add the new message to Samples");
  Samples samples(31);
  for (std::size_t n = 0; n < 100 * Kinds; ++n) {
    const PeerEnvelope envelope{NodeId("a"), NodeId("b"), samples.message(n % Kinds), "10.0.0.1:1"};
    REQUIRE(envelope.Message.index() == n % Kinds);
    const auto frame = encodePeer(envelope);
    const auto decoded = decodePeer(payload(frame));
    REQUIRE(std::holds_alternative<PeerEnvelope>(decoded));
    const auto &out = std::get<PeerEnvelope>(decoded);
    CHECK(out.Message.index() == envelope.Message.index());
    CHECK(encodePeer(out) == frame);
  }
  // The second encoding alone would not notice a field that neither direction handles.
  ForwardRequest request{RequestId{1}, 2s, 3, 4, samples.request()};
  const auto decoded =
      std::get<PeerEnvelope>(decodePeer(payload(encodePeer({NodeId("a"), NodeId("b"), request, {}}))));
  const auto &out = std::get<ForwardRequest>(decoded.Message);
  CHECK(out.Attempt == 4);
  CHECK(out.Request.Caller == request.Request.Caller);
  CHECK(out.Request.Statements == request.Request.Statements);
  CHECK(out.Request.Session == request.Request.Session);
}

TEST_CASE("damaged frames are refused or decode, without reading out of bounds") {
  Samples samples(32);
  std::mt19937_64 random(33);
  for (std::size_t n = 0; n < 2'000 * Kinds; ++n) {
    const auto frame = encodePeer({NodeId("a"), NodeId("b"), samples.message(n % Kinds), {}});
    const auto out = decodePeer(testing::corrupt(payload(frame), random));
    if (const auto *it = std::get_if<PeerEnvelope>(&out))
      CHECK(!it->From.empty());
  }
}

TEST_CASE("frames beyond the size limit are neither sent nor read") {
  const JournalRecords large{1, {std::string(MaxPeerFrame, 'x')}};
  CHECK(encodePeer({NodeId("a"), NodeId("b"), large, {}}).empty());
  CHECK((std::get<PeerDecodeError>(decodePeer(std::string(MaxPeerFrame + 1, 'x'))) ==
         PeerDecodeError::TooLarge));
}

// Guards against a newer release that takes this one down during an upgrade.
TEST_CASE("an unknown message type is told apart from a malformed frame") {
  auto frame = encodePeer({NodeId("a"), NodeId("b"), JournalAck{7}, {}});
  // The schema numbers the messages from 1, in the order of the variant.
  const auto type = static_cast<char>(PeerMessage(JournalAck{}).index() + 1);
  const auto at = frame.find(type);
  bool found = false;
  for (auto n = at; n != std::string::npos && !found; n = frame.find(type, n + 1)) {
    auto changed = frame;
    changed[n] = 120;
    const auto out = decodePeer(payload(changed));
    const auto *error = std::get_if<PeerDecodeError>(&out);
    found = error && *error == PeerDecodeError::UnknownMessage;
  }
  CHECK(found);
}

// Guards against a small frame that expands to gigabytes: many references to one large string.
TEST_CASE("shared references do not multiply") {
  flatbuffers::FlatBufferBuilder builder;
  const auto large = builder.CreateString(std::string(100'000, 'x'));
  const std::vector<flatbuffers::Offset<flatbuffers::String>> many(10'000, large);
  const auto records = builder.CreateVector(many);
  // Field numbers of the schema: JournalRecords.records is 1; Envelope has protocol 0, from 1, to 2,
  // message type 3 and message 4.
  const auto slot = [](flatbuffers::voffset_t n) { return flatbuffers::FieldIndexToOffset(n); };
  auto start = builder.StartTable();
  builder.AddOffset(slot(1), records);
  const auto message = builder.EndTable(start);
  const auto name = builder.CreateString("a");
  start = builder.StartTable();
  builder.AddElement<std::uint16_t>(slot(0), PeerProtocol, 0);
  builder.AddOffset(slot(1), name);
  builder.AddOffset(slot(2), name);
  builder.AddElement<std::uint8_t>(slot(3), 15, 0);
  builder.AddOffset(slot(4), flatbuffers::Offset<void>(message));
  builder.FinishSizePrefixed(flatbuffers::Offset<void>(builder.EndTable(start)));
  const std::string frame(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
  CHECK((std::get<PeerDecodeError>(decodePeer(payload(frame))) == PeerDecodeError::Malformed));
}

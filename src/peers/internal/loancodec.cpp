// Lent connections on the wire between proxies.

#include "peers/internal/loancodec.h"

#include "base/overloaded.h"

namespace rosemaryhinge::detail {

namespace {

using flatbuffers::Offset;

/// Kinds of commands on the wire.
enum class CommandKind : std::uint8_t { Run, Begin, Rollback };

wire::LoanId loanId(const LoanId &it) { return {it.Incarnation, it.Number}; }
wire::Position wirePosition(const std::optional<Position> &it) {
  return it ? wire::Position(it->Term, it->Lsn) : wire::Position();
}

Offset<wire::LoanCommand> encodeRun(LoanBuilder &builder, const RunStatement &it) {
  const auto *execute = std::get_if<ExecuteStatement>(&it.Body);
  const auto id = builder.CreateString(it.StatementId);
  const auto text = builder.CreateString(execute ? execute->Arguments : std::get<std::string>(it.Body));
  const auto after = wirePosition(it.After);
  return wire::CreateLoanCommand(builder, static_cast<std::uint8_t>(CommandKind::Run), id, text,
                                 execute != nullptr, false, it.After ? &after : nullptr);
}

Offset<wire::LoanCommand> encodeCommand(LoanBuilder &builder, const LinkCommand &command) {
  return std::visit(
      Overloaded{[&](const RunStatement &it) { return encodeRun(builder, it); },
                 [&](const BeginTransaction &it) {
                   const auto after = wirePosition(it.After);
                   return wire::CreateLoanCommand(builder, static_cast<std::uint8_t>(CommandKind::Begin), 0,
                                                  0, false, it.ReadOnly, it.After ? &after : nullptr);
                 },
                 [&](const auto &) {
                   // Orders and session state never go over a loan; a rollback has no fields.
                   return wire::CreateLoanCommand(builder, static_cast<std::uint8_t>(CommandKind::Rollback));
                 }},
      command);
}

class Decoder {
public:
  explicit Decoder(FrameReader &reader) : In(reader) {}

  LoanId loan(const wire::LoanId *it) {
    if (!In.need(it))
      return {};
    return {it->incarnation(), it->number()};
  }

  LinkCommand command(const wire::LoanCommand *it) {
    const auto after = FrameReader::position(it->after());
    switch (In.value(it->kind(), CommandKind::Rollback)) {
    case CommandKind::Begin:
      return BeginTransaction{it->read_only(), after};
    case CommandKind::Rollback:
      return RollbackTransaction{};
    case CommandKind::Run:
      break;
    }
    RunStatement out{In.text(it->statement_id()), In.text(it->text()), after};
    if (it->prepared())
      out.Body = ExecuteStatement{{}, std::get<std::string>(out.Body)};
    return out;
  }

  LoanCommands commands(const wire::LoanCommands &it) {
    LoanCommands out{loan(it.loan()), {}, std::nullopt, {}};
    using Pair = std::pair<std::string, std::string>;
    for (auto &[name, value] : In.list<Pair>(it.values(), [this](const auto *one) {
           return Pair(In.text(one->name()), In.text(one->value()));
         }))
      out.Values[name] = value;
    if (it.shape())
      out.Shape =
          PreparedShape{it.shape_writes() ? AccessMode::Write : AccessMode::Read, In.text(it.shape())};
    out.Commands = In.list<LinkCommand>(it.commands(), [this](const auto *one) { return command(one); });
    return out;
  }

  LoanReply reply(const wire::LoanReply &it) {
    LoanReply out{
        loan(it.loan()), {}, In.value(it.state(), TransactionState::Failed), FrameReader::position(it.at())};
    if (it.rejected())
      out.Outcome = StatementRejection{In.value(it.code(), Rejection::Unauthorized), In.text(it.text())};
    else
      out.Outcome = StatementResultRows{In.texts(it.rows()), In.text(it.text())};
    return out;
  }

private:
  FrameReader &In;
};

} // namespace

LoanOffset encodeLoan(LoanBuilder &builder, const LoanRequest &it, wire::Message &type) {
  type = wire::Message::LoanRequest;
  const auto id = loanId(it.Loan);
  const auto target = builder.CreateString(it.Target.str());
  const auto workspace = builder.CreateString(it.Workspace.str());
  return wire::CreateLoanRequest(builder, &id, target, it.Priority, workspace).Union();
}

LoanOffset encodeLoan(LoanBuilder &builder, const LoanQueued &it, wire::Message &type) {
  type = wire::Message::LoanQueued;
  const auto id = loanId(it.Loan);
  return wire::CreateLoanQueued(builder, &id).Union();
}

LoanOffset encodeLoan(LoanBuilder &builder, const LoanGrant &it, wire::Message &type) {
  type = wire::Message::LoanGrant;
  const auto id = loanId(it.Loan);
  return wire::CreateLoanGrant(builder, &id).Union();
}

LoanOffset encodeLoan(LoanBuilder &builder, const LoanCommands &it, wire::Message &type) {
  type = wire::Message::LoanCommands;
  std::vector<Offset<wire::NamedValue>> values;
  for (const auto &[name, value] : it.Values) {
    const auto key = builder.CreateString(name);
    values.push_back(wire::CreateNamedValue(builder, key, builder.CreateString(value)));
  }
  std::vector<Offset<wire::LoanCommand>> commands;
  for (const auto &one : it.Commands)
    commands.push_back(encodeCommand(builder, one));
  const auto valueList = builder.CreateVector(values);
  const auto commandList = builder.CreateVector(commands);
  const auto shape = it.Shape ? builder.CreateString(it.Shape->Shape) : Offset<flatbuffers::String>();
  const auto id = loanId(it.Loan);
  return wire::CreateLoanCommands(builder, &id, valueList, shape,
                                  it.Shape && it.Shape->Mode == AccessMode::Write, commandList)
      .Union();
}

LoanOffset encodeLoan(LoanBuilder &builder, const LoanReply &it, wire::Message &type) {
  type = wire::Message::LoanReply;
  const auto id = loanId(it.Loan);
  const auto at = wirePosition(it.At);
  const auto *where = it.At ? &at : nullptr;
  const auto state = static_cast<std::uint8_t>(it.State);
  if (const auto *why = std::get_if<StatementRejection>(&it.Outcome)) {
    const auto message = builder.CreateString(why->Message);
    return wire::CreateLoanReply(builder, &id, true, static_cast<std::uint8_t>(why->Code), message, 0, state,
                                 where)
        .Union();
  }
  const auto &rows = std::get<StatementResultRows>(it.Outcome);
  const auto list = builder.CreateVectorOfStrings(rows.Rows);
  const auto signature = builder.CreateString(rows.Signature);
  return wire::CreateLoanReply(builder, &id, false, 0, signature, list, state, where).Union();
}

LoanOffset encodeLoan(LoanBuilder &builder, const LoanEnd &it, wire::Message &type) {
  type = wire::Message::LoanEnd;
  const auto id = loanId(it.Loan);
  return wire::CreateLoanEnd(builder, &id, static_cast<std::uint8_t>(it.Why)).Union();
}

std::optional<PeerMessage> decodeLoan(const wire::Envelope &envelope, FrameReader &reader) {
  Decoder in(reader);
  switch (envelope.message_type()) {
  case wire::Message::LoanRequest: {
    const auto *it = envelope.message_as_LoanRequest();
    return LoanRequest{in.loan(it->loan()), reader.id<TargetId>(it->target()), it->priority(),
                       reader.id<WorkspaceId>(it->workspace())};
  }
  case wire::Message::LoanQueued:
    return LoanQueued{in.loan(envelope.message_as_LoanQueued()->loan())};
  case wire::Message::LoanGrant:
    return LoanGrant{in.loan(envelope.message_as_LoanGrant()->loan())};
  case wire::Message::LoanCommands:
    return in.commands(*envelope.message_as_LoanCommands());
  case wire::Message::LoanReply:
    return in.reply(*envelope.message_as_LoanReply());
  case wire::Message::LoanEnd: {
    const auto *it = envelope.message_as_LoanEnd();
    return LoanEnd{in.loan(it->loan()), reader.value(it->why(), LoanEndReason::Refused)};
  }
  default:
    return std::nullopt;
  }
}

} // namespace rosemaryhinge::detail

// Executions on a connection of a slot.

#include "targets/internal/slotconnection.h"

#include "base/wholenumber.h"
#include "targets/internal/rows.h"

namespace rosemaryhinge::detail {

namespace {

/// SQLSTATE program_limit_exceeded.
constexpr const char *StateTooLarge = "54000";
/// SQLSTATE transaction_rollback.
constexpr const char *StateRolledBack = "40000";
constexpr const char *CommitTag = "COMMIT";

} // namespace

SlotConnection::SlotConnection(asio::io_context &io, ConnectionId id, const TargetOptions &options,
                               EventSink sink, IMetrics &metrics, OnEnd onEnd)
    : Id(id), Options(options), Sink(std::move(sink)), Metrics(metrics), Ended(std::move(onEnd)),
      Pg(std::make_shared<PgConnection>(io, options.MaxAnswerBytes)) {}

void SlotConnection::connect(const ConnectionOptions &options) {
  Pg->connect(
      options, Options.ConnectTimeout,
      [self = shared_from_this()] { self->Sink(ConnectionOpened{self->Id}); },
      [self = shared_from_this()](const std::string &why) { self->end(why); });
}

void SlotConnection::execute(const Execute &effect) {
  if (Running || !Pg->idle()) {
    // The state of the connection is not what the decision logic takes it for: nothing may run on it.
    Metrics.count("target_executions_rejected_total");
    end("execution on a connection that is not idle");
    return;
  }
  Running = true;
  Execution = effect.Execution;
  Mark = effect.Marker;
  ReadOnly = effect.ReadOnly;
  if (effect.Step == TransactionStep::None || effect.Step == TransactionStep::Begin) {
    At = {};
    Role = ReadOnly ? TargetRole::Replica : TargetRole::Primary;
  }
  Current = script(effect);
  const auto sql = std::move(Current.Sql);
  Pg->query(sql, Options.ExecuteTimeout,
            [self = shared_from_this()](PgOutcome outcome) { self->finished(std::move(outcome)); });
}

void SlotConnection::close() {
  Pg->close();
  Ended = nullptr;
}

void SlotConnection::finished(PgOutcome outcome) {
  const bool committed = Current.Commit < outcome.Tags.size() && outcome.Tags[Current.Commit] == CommitTag;
  if (outcome.Error && committed) {
    end("no status after the commit: " + outcome.Error->Message);
  } else if (outcome.Error) {
    failed(*outcome.Error);
  } else if (outcome.Results.size() != Current.Results) {
    end("expected " + std::to_string(Current.Results) + " results, got " +
        std::to_string(outcome.Results.size()));
  } else if (Current.Commit != Script::None && !committed) {
    failed({StateRolledBack, "the server rolled the transaction back", ""});
  } else if (outcome.TooLarge && committed && !ReadOnly) {
    // The write took effect and its answer cannot be given: the outcome is looked up by its marker.
    end("the answer exceeds the size limit");
  } else if (outcome.TooLarge) {
    failed({StateTooLarge, "the answer exceeds " + std::to_string(Options.MaxAnswerBytes) + " bytes", ""});
  } else {
    done(std::move(outcome));
  }
}

void SlotConnection::failed(const PgError &error) {
  if (!Pg->inTransaction()) {
    rolledBack(error);
    return;
  }
  Pg->query(std::string(RollbackQuery), Options.RollbackTimeout,
            [self = shared_from_this(), error](const PgOutcome &outcome) {
              // Without a rollback the server may still hold the transaction open.
              if (outcome.Error || self->Pg->inTransaction())
                self->end("rollback failed");
              else
                self->rolledBack(error);
            });
}

void SlotConnection::rolledBack(const PgError &error) {
  if (error.SqlState == StateMarkerConflict && Mark) {
    conflict();
  } else if (error.SqlState == StateNotPrimary) {
    report(NotPrimary{parseWholeNumber<std::uint64_t>(error.Detail).value_or(0)});
  } else {
    report(ExecutionFailed{error.SqlState, error.Message});
  }
}

void SlotConnection::conflict() {
  Pg->query(markerQuery(Mark->Key), Options.RollbackTimeout,
            [self = shared_from_this()](const PgOutcome &outcome) {
              const auto record = outcome.Error || outcome.Results.size() != 1
                                      ? std::nullopt
                                      : parseMarkerRecord(outcome.Results[0]);
              if (record)
                self->report(MarkerConflict{*record});
              else
                self->end("the marker record is not readable");
            });
}

void SlotConnection::done(PgOutcome outcome) {
  ExecutionDone out;
  if (Current.Status != Script::None) {
    const auto status = parseStatus(outcome.Results[Current.Status]);
    if (!status) {
      end("the status row is not valid");
      return;
    }
    At = status->Log;
    Role = status->Role;
  }
  out.At = At;
  out.Role = Role;
  const auto from = outcome.Results.begin() + static_cast<std::ptrdiff_t>(Current.FirstStatement);
  out.Results.assign(std::make_move_iterator(from),
                     std::make_move_iterator(from + static_cast<std::ptrdiff_t>(Current.Statements)));
  report(std::move(out));
}

void SlotConnection::report(decltype(ExecutionFinished::Result) result) {
  Running = false;
  Sink(ExecutionFinished{Id, Execution, std::move(result)});
}

void SlotConnection::end(const std::string &why) {
  const auto self = shared_from_this();
  const auto ended = std::move(Ended);
  close();
  if (ended)
    ended(Id, why);
}

} // namespace rosemaryhinge::detail

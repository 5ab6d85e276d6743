// Tests of the target adapter against a scripted server.

#include "targets/targets.h"

#include "metrics/metrics.h"
#include "targets/tests/fakepgserver.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using testing::FakePgServer;
using testing::PgReply;

namespace {

using Connection = FakePgServer::Connection;

struct Fixture {
  asio::io_context Io;
  Metrics Counters;
  std::vector<Event> Events;
  FakePgServer Server;
  std::unique_ptr<ITargets> Targets;

  explicit Fixture(FakePgServer::Script script, TargetOptions options = {}) : Server(Io, std::move(script)) {
    options.Self = NodeId("n1");
    Targets = makeTargets(
        Io, options, [this](Event it) { Events.push_back(std::move(it)); }, Counters);
    Targets->setAddress({TargetId("s1"), DatabaseId("db"), Server.Server.address()});
  }
  bool events(std::size_t count) {
    return testing::runUntil(Io, [&] { return Events.size() >= count; });
  }
  void settle() {
    Io.restart();
    Io.run_for(50ms);
  }
  void open(std::uint64_t id = 1) { Targets->open({ConnectionId{id}, TargetId("s1"), 2, 7}); }
  void openWait() {
    open();
    REQUIRE(events(1));
    REQUIRE(std::holds_alternative<ConnectionOpened>(Events[0]));
  }
  void execute(std::vector<std::string> statements, std::optional<Marker> marker, bool readOnly = false,
               TransactionStep step = TransactionStep::None) {
    Targets->execute({ConnectionId{1}, ExecutionId{++LastExecution}, std::move(statements), readOnly, step,
                      std::move(marker)});
  }
  void control(std::uint64_t number, Duration timeout, ControlRequest request) {
    Targets->control({{Module::Failover, number}, TargetId("s1"), timeout, std::move(request)});
  }
  template <typename T> T finished(std::size_t n) const {
    const auto &it = std::get<ExecutionFinished>(Events.at(n));
    CHECK(it.Execution == ExecutionId{LastExecution});
    return std::get<T>(it.Result);
  }
  const ControlAnswer &answer(std::size_t n) const { return std::get<ControlAnswer>(Events.at(n)); }
  ControlError failure(std::size_t n) const { return std::get<ControlFailure>(answer(n).Result).Error; }

  std::uint64_t LastExecution = 0;
};

const Marker Mark{"k'1", 3};

void commitWrite(Connection &it, const std::string &) {
  it.send(PgReply()
              .tag("BEGIN")
              .rows({"mark"}, {{"t"}})
              .tag("INSERT 0 1")
              .rows({"a", "b"}, {{"1", std::nullopt}, {"2", ""}})
              .tag("COMMIT")
              .status("primary", 2, 99)
              .ready()
              .Bytes);
}

} // namespace

TEST_CASE("a whole write is one query string between BEGIN and the status") {
  Fixture f(commitWrite);
  f.openWait();
  CHECK(f.Server.Startups[0].find(std::string("application_name\0rh/slot=2/gen=7/node=n1\0", 40)) !=
        std::string::npos);
  CHECK(f.Server.Startups[0].find(std::string("user\0rosemaryhinge\0", 19)) != std::string::npos);
  CHECK(f.Server.Startups[0].find(std::string("database\0db\0", 12)) != std::string::npos);
  f.execute({"INSERT INTO t VALUES (1) -- x", "SELECT * FROM t ;"}, Mark);
  REQUIRE(f.events(2));
  CHECK(f.Server.Queries.at(0) == "BEGIN\n;\nSELECT * FROM rosemaryhinge_mark('k''1', 3)\n;\n"
                                  "INSERT INTO t VALUES (1) -- x\n;\nSELECT * FROM t\n;\nCOMMIT\n;\n"
                                  "SELECT * FROM rosemaryhinge_status(0, 0, 0)");
  const auto done = f.finished<ExecutionDone>(1);
  REQUIRE(done.Results.size() == 2);
  CHECK(done.Results[0].Affected == 1);
  CHECK(done.Results[1].Columns == std::vector<std::string>{"a", "b"});
  CHECK(done.Results[1].Rows == decltype(done.Results[1].Rows){{"1", std::nullopt}, {"2", ""}});
  CHECK(done.At == Position{2, 99});
  CHECK((done.Role == TargetRole::Primary));
}

// Guards read_your_writes: the position of a read is that of its snapshot, not that after it.
TEST_CASE("a read takes the status inside its transaction") {
  Fixture f([](Connection &it, const std::string &) {
    it.send(PgReply().tag("BEGIN").status("replica", 2, 50).rows({"a"}, {{"1"}}).tag("COMMIT").ready().Bytes);
  });
  f.openWait();
  f.execute({"SELECT a FROM t"}, std::nullopt, true);
  REQUIRE(f.events(2));
  CHECK(f.Server.Queries.at(0) == "BEGIN READ ONLY\n;\nSELECT * FROM rosemaryhinge_status(0, 0, 0)\n;\n"
                                  "SELECT a FROM t\n;\nCOMMIT");
  CHECK(f.finished<ExecutionDone>(1).At == Position{2, 50});
  CHECK((f.finished<ExecutionDone>(1).Role == TargetRole::Replica));
}

TEST_CASE("an interactive transaction keeps the position of its snapshot until the commit") {
  Fixture f([](Connection &it, const std::string &sql) {
    PgReply out;
    if (sql.starts_with("BEGIN"))
      out.tag("BEGIN").status("replica", 2, 50).ready('T');
    else if (sql.starts_with("COMMIT"))
      out.tag("COMMIT").status("replica", 2, 60).ready();
    else
      out.rows({"a"}, {{"1"}}).ready('T');
    it.send(out.Bytes);
  });
  f.openWait();
  f.execute({}, std::nullopt, true, TransactionStep::Begin);
  REQUIRE(f.events(2));
  f.execute({"SELECT 1"}, std::nullopt, true, TransactionStep::Statement);
  REQUIRE(f.events(3));
  CHECK(f.finished<ExecutionDone>(2).At == Position{2, 50});
  CHECK((f.finished<ExecutionDone>(2).Role == TargetRole::Replica));
  f.execute({}, std::nullopt, true, TransactionStep::Commit);
  REQUIRE(f.events(4));
  CHECK(f.finished<ExecutionDone>(3).At == Position{2, 60});
}

TEST_CASE("a failed statement is rolled back before it is reported") {
  Fixture f([](Connection &it, const std::string &sql) {
    if (sql == "ROLLBACK")
      it.send(PgReply().tag("ROLLBACK").ready().Bytes);
    else
      it.send(PgReply().tag("BEGIN").rows({"mark"}, {{"t"}}).error("23505", "duplicate").ready('E').Bytes);
  });
  f.openWait();
  f.execute({"INSERT"}, Mark);
  REQUIRE(f.events(2));
  CHECK(f.Server.Queries.at(1) == "ROLLBACK");
  CHECK(f.finished<ExecutionFailed>(1).SqlState == "23505");
}

TEST_CASE("a marker conflict gives the record, and a server that is no primary its raised term") {
  bool primary = true;
  Fixture f([&](Connection &it, const std::string &sql) {
    PgReply out;
    if (sql == "ROLLBACK")
      out.tag("ROLLBACK").ready();
    else if (sql.starts_with("SELECT * FROM rosemaryhinge_marker('k''1')"))
      out.rows({"done", "attempt", "result", "log_term", "log_lsn"},
               {{"t", "2", R"([{"columns":["a"],"rows":[["x"],[null]],"affected":2}])", "2", "70"}})
          .ready();
    else if (primary)
      out.tag("BEGIN").error("RH002", "marker exists").ready('E');
    else
      out.tag("BEGIN").error("RH003", "not primary", "9").ready('E');
    it.send(out.Bytes);
  });
  f.openWait();
  f.execute({"INSERT"}, Mark);
  REQUIRE(f.events(2));
  const auto record = f.finished<MarkerConflict>(1).Record;
  CHECK(record.Done);
  CHECK(record.Attempt == 2);
  CHECK(record.At == Position{2, 70});
  REQUIRE(record.Results);
  CHECK(record.Results->at(0).Rows == decltype(record.Results->at(0).Rows){{"x"}, {std::nullopt}});
  primary = false;
  f.execute({"INSERT"}, Mark);
  REQUIRE(f.events(3));
  CHECK(f.finished<NotPrimary>(2).RaisedTerm == 9);
}

// Guards true_not_run: once COMMIT may have taken effect, no error may read as "had no effect".
TEST_CASE("an outcome that is not certain closes the connection") {
  int kind = 0;
  FakePgServer::Script script = [&](Connection &it, const std::string &) {
    PgReply out;
    out.tag("BEGIN").rows({"mark"}, {{"t"}});
    if (kind == 0) // The connection ends before the answer is whole.
      it.send(out.Bytes);
    else if (kind == 1) // The commit succeeded, its position is not known.
      it.send(out.tag("INSERT 0 1").tag("COMMIT").error("XX000", "status failed").ready().Bytes);
    else if (kind == 2) // The answer is larger than what may be passed on.
      it.send(out.rows({"a"}, {{std::string(2'000'000, 'x')}})
                  .tag("COMMIT")
                  .status("primary", 2, 9)
                  .ready()
                  .Bytes);
    else // A result too few.
      it.send(out.tag("COMMIT").status("primary", 2, 9).ready().Bytes);
    if (kind == 0)
      it.close();
  };
  for (kind = 0; kind < 4; ++kind) {
    Fixture f(script);
    f.openWait();
    f.execute({"INSERT"}, Mark);
    REQUIRE(f.events(2));
    f.settle();
    REQUIRE(f.Events.size() == 2);
    CHECK_MESSAGE(std::holds_alternative<ConnectionClosed>(f.Events[1]), kind);
  }
}

TEST_CASE("a read beyond the size limit fails and leaves the connection usable") {
  bool large = true;
  Fixture f([&](Connection &it, const std::string &) {
    const std::string cell(large ? 2'000'000 : 5, 'x');
    it.send(PgReply()
                .tag("BEGIN")
                .status("replica", 2, 50)
                .rows({"a"}, {{cell}, {"y"}})
                .tag("COMMIT")
                .ready()
                .Bytes);
  });
  f.openWait();
  f.execute({"SELECT"}, std::nullopt, true);
  REQUIRE(f.events(2));
  CHECK(f.finished<ExecutionFailed>(1).SqlState == "54000");
  large = false;
  f.execute({"SELECT"}, std::nullopt, true);
  REQUIRE(f.events(3));
  CHECK(f.finished<ExecutionDone>(2).Results.at(0).Rows.size() == 2);
}

// Guards transaction_isolation: no second execution may reach a connection that is at work.
TEST_CASE("an execution on a busy connection ends the connection") {
  Fixture f([](Connection &, const std::string &) {});
  f.openWait();
  f.execute({"INSERT 1"}, Mark);
  f.execute({"INSERT 2"}, Mark);
  REQUIRE(f.events(2));
  CHECK(std::holds_alternative<ConnectionClosed>(f.Events[1]));
  f.settle();
  CHECK(f.Events.size() == 2);
}

TEST_CASE("a connection that cannot be opened, or that the server ends, is reported once") {
  Fixture f([](Connection &, const std::string &) {});
  f.Targets->open({ConnectionId{5}, TargetId("unknown"), 0, 1});
  REQUIRE(f.events(1));
  CHECK(std::get<ConnectionClosed>(f.Events[0]).Connection == ConnectionId{5});
  f.open();
  REQUIRE(f.events(2));
  f.Server.Server.Connections.at(0)->close();
  REQUIRE(f.events(3));
  CHECK(std::holds_alternative<ConnectionClosed>(f.Events[2]));
  f.Targets->close({ConnectionId{1}});
  f.execute({"SELECT 1"}, std::nullopt, true);
  f.settle();
  CHECK(f.Events.size() == 3);
  f.Targets->setAddress({TargetId("s1"), DatabaseId("db"), "127.0.0.1:1"});
  f.open(6);
  REQUIRE(f.events(4));
  CHECK(std::get<ConnectionClosed>(f.Events[3]).Connection == ConnectionId{6});
}

TEST_CASE("control calls give a status, a marker record or the kind of failure") {
  Fixture f([](Connection &it, const std::string &sql) {
    PgReply out;
    if (sql.find("raise_term(4)") != std::string::npos)
      out.error("RH001", "a higher term was raised");
    else if (sql.find("abort('k''1', 3)") != std::string::npos)
      out.rows({"done", "attempt", "result", "log_term", "log_lsn"}, {{"f", "3", std::nullopt, "2", "70"}});
    else if (sql.find("promote(5)") != std::string::npos)
      out.rows({"role"}, {{"primary"}});
    else
      out.status("primary", 2, 99);
    it.send(out.ready().Bytes);
  });
  f.control(1, 1s, QueryStatus{});
  REQUIRE(f.events(1));
  const auto status = std::get<TargetStatus>(f.answer(0).Result);
  CHECK(status.Log == Position{2, 99});
  CHECK(status.SincePrimary == Duration(12ms));
  CHECK(status.History == std::vector<TermStart>{{1, 0}, {2, 50}});
  CHECK(f.Server.Startups[0].find("rh/control") != std::string::npos);
  f.control(2, 1s, RaiseTerm{4});
  REQUIRE(f.events(2));
  CHECK((f.failure(1) == ControlError::Refused));
  f.control(3, 1s, AbortMarker{Mark});
  REQUIRE(f.events(3));
  CHECK(!std::get<MarkerRecord>(f.answer(2).Result).Done);
  f.control(4, 1s, Promote{5});
  REQUIRE(f.events(4));
  CHECK((f.failure(3) == ControlError::Unreachable));
  f.control(5, 1s, ClaimSlot{1, 8});
  REQUIRE(f.events(5));
  CHECK(f.Server.Queries.back() == "SELECT * FROM rosemaryhinge_claim_slot(1, 8)");
  CHECK(f.Server.Startups.size() == 1);
}

// Guards answer_matching and the time bound of control calls.
TEST_CASE("a control call without an answer times out, and its late answer reaches no other call") {
  std::vector<Connection *> silent;
  Fixture f([&](Connection &it, const std::string &sql) {
    if (sql.find("raise_term") != std::string::npos) {
      silent.push_back(&it);
      return;
    }
    for (auto *one : silent)
      one->send(PgReply().status("primary", 1, 1).ready().Bytes);
    it.send(PgReply().status("replica", 2, 77).ready().Bytes);
  });
  f.control(1, 50ms, RaiseTerm{9});
  REQUIRE(f.events(1));
  CHECK((f.failure(0) == ControlError::Timeout));
  f.control(2, 1s, QueryStatus{});
  REQUIRE(f.events(2));
  CHECK(f.answer(1).Call.Number == 2);
  CHECK(std::get<TargetStatus>(f.answer(1).Result).Log == Position{2, 77});
  f.settle();
  CHECK(f.Events.size() == 2);
  f.Targets->setAddress({TargetId("s1"), DatabaseId("db"), "127.0.0.1:1"});
  f.control(3, 1s, RaiseTerm{9});
  f.control(4, 1s, RaiseTerm{9});
  f.control(5, 1s, RaiseTerm{9});
  REQUIRE(f.events(5));
  CHECK((f.failure(4) == ControlError::Unreachable));
}

// Guards the coverage of writes: each waits for its own position, though they share a query.
TEST_CASE("waits that queue together share a query and are answered each at its own position") {
  std::vector<Connection *> waiting;
  TargetOptions options;
  options.MaxControlConnections = 2;
  Fixture f([&](Connection &it, const std::string &) { waiting.push_back(&it); }, options);
  f.control(1, 2s, QueryStatus{Position{2, 10}});
  REQUIRE(testing::runUntil(f.Io, [&] { return waiting.size() == 1; }));
  f.control(2, 2s, QueryStatus{Position{2, 30}});
  f.control(3, 2s, QueryStatus{Position{2, 20}});
  f.control(4, 2s, QueryStatus{Position{2, 20}});
  f.settle();
  CHECK(waiting.size() == 1);
  // Calls that wait for nothing have a connection of their own.
  f.control(5, 2s, ClaimSlot{0, 1});
  REQUIRE(testing::runUntil(f.Io, [&] { return waiting.size() == 2; }));
  waiting[1]->send(PgReply().status("replica", 2, 5).ready().Bytes);
  REQUIRE(f.events(1));
  CHECK(f.answer(0).Call.Number == 5);
  waiting[0]->send(PgReply().status("replica", 2, 12).ready().Bytes);
  REQUIRE(testing::runUntil(f.Io, [&] { return waiting.size() == 3; }));
  CHECK(f.answer(1).Call.Number == 1);
  CHECK(f.Server.Queries.back().starts_with("SELECT * FROM rosemaryhinge_status(2, 20, "));
  waiting[2]->send(PgReply().status("replica", 2, 25).ready().Bytes);
  REQUIRE(testing::runUntil(f.Io, [&] { return waiting.size() == 4; }));
  CHECK(f.Events.size() == 4);
  waiting[3]->send(PgReply().status("replica", 3, 25).ready().Bytes);
  REQUIRE(f.events(5));
  CHECK(f.answer(4).Call.Number == 2);
  CHECK(std::get<TargetStatus>(f.answer(4).Result).Log.Term == 3);
}

TEST_CASE("the queue of control calls has a bound") {
  TargetOptions options;
  options.MaxControlConnections = 1;
  options.MaxControlQueue = 2;
  Fixture f([](Connection &, const std::string &) {}, options);
  for (std::uint64_t n = 1; n <= 4; ++n)
    f.control(n, 100ms, RaiseTerm{n});
  REQUIRE(f.Events.size() == 1);
  CHECK(f.answer(0).Call.Number == 4);
  REQUIRE(f.events(4));
  CHECK((f.failure(3) == ControlError::Timeout));
}

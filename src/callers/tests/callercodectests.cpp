// Tests of requests and answers in HTTP and JSON.

#include "callers/callercodec.h"

#include "callers/internal/statementcheck.h"
#include "net/tests/corrupt.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace rosemaryhinge;

namespace {

const TimePoint Now{1h};

const SessionKeys &keys() {
  static const SessionKeys Keys{"k1", {{"k1", std::string(32, 'a')}}};
  return Keys;
}

std::variant<ParsedRequest, CallerError> parse(std::string path, std::string body, HttpHeaders headers = {}) {
  return parseCallerRequest({1, "POST", std::move(path), std::move(headers), std::move(body), "10.0.0.9"},
                            keys(), Now);
}

CallerRequest accepted(std::string path, std::string body, HttpHeaders headers = {}) {
  auto out = parse(std::move(path), std::move(body), std::move(headers));
  const auto *error = std::get_if<CallerError>(&out);
  REQUIRE_MESSAGE(!error, (error ? error->Answer.Message : ""));
  return std::get<ParsedRequest>(out).Request;
}

std::string refused(std::string path, std::string body, HttpHeaders headers = {}) {
  const auto out = parse(std::move(path), std::move(body), std::move(headers));
  REQUIRE(std::holds_alternative<CallerError>(out));
  const auto &error = std::get<CallerError>(out);
  CHECK((error.Answer.Ran == Ran::NotRun));
  CHECK(error.Status >= 400);
  return error.Answer.Message;
}

bool has(const std::string &text, std::string_view part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_CASE("all routes and fields are read") {
  const auto query = accepted("/v1/db/a%2Fb/query", R"({"sql":"SELECT 1","class":"short","read_only":true,
      "max_staleness_ms":250,"deadline_ms":1500,"idempotency_key":"k"})");
  CHECK(query.Database == DatabaseId("a/b"));
  CHECK(query.Statements == std::vector<std::string>{"SELECT 1"});
  CHECK(query.Class == ClassName("short"));
  CHECK(query.ReadOnly);
  CHECK(query.MaxStaleness == Duration(250ms));
  CHECK(query.Deadline == Now + 1500ms);
  CHECK(query.IdempotencyKey == "k");
  CHECK(query.Step == TransactionStep::None);
  CHECK(accepted("/v1/db/d/transaction", R"({"statements":["A","B;"]})").Statements.size() == 2);
  CHECK(accepted("/v1/db/d/begin", "").Step == TransactionStep::Begin);
  CHECK(accepted("/v1/db/d/begin", "").Deadline == TimePoint());
  const auto id = publicTransactionId(DatabaseId("d~1"), TransactionId("node/7"));
  for (const auto &[op, step] :
       {std::pair("query", TransactionStep::Statement), std::pair("commit", TransactionStep::Commit),
        std::pair("rollback", TransactionStep::Rollback)}) {
    const auto it = accepted("/v1/transactions/" + id + "/" + op,
                             step == TransactionStep::Statement ? R"({"sql":"SELECT 1"})" : "{}");
    CHECK(it.Step == step);
    CHECK(it.Transaction == TransactionId("node/7"));
    CHECK(it.Database == DatabaseId("d~1"));
  }
}

TEST_CASE("a refusal names the place of the fault") {
  const std::string query = "/v1/db/d/query";
  CHECK(has(refused("/v1/db/d/nothing", "{}"), "no such path"));
  CHECK(has(refused("/v1/db//query", "{}"), "database name"));
  CHECK(has(refused("/v1/db/%4/query", "{}"), "database name"));
  CHECK(has(refused("/v1/transactions/x/commit", "{}"), "transaction id"));
  CHECK(has(refused(query, "{\"sql\":\n 7,}"), "line 2"));
  CHECK(has(refused(query, "[]"), "JSON object"));
  CHECK(has(refused(query, "{}"), "sql: missing"));
  CHECK(has(refused(query, R"({"sql":"SELECT 1","read_onyl":true})"), "read_onyl"));
  CHECK(has(refused(query, R"({"sql":"SELECT 1","read_only":1})"), "read_only"));
  CHECK(has(refused(query, R"({"sql":"SELECT 1","deadline_ms":0})"), "deadline_ms"));
  CHECK(has(refused(query, R"({"sql":"SELECT 1","deadline_ms":18446744073709551615})"), "deadline_ms"));
  CHECK(has(refused(query, R"({"sql":"SELECT 1","max_staleness_ms":5})"), "read_only"));
  CHECK(has(refused(query, R"({"sql":"SELECT 1","idempotency_key":"a'b"})"), "idempotency_key"));
  CHECK(has(refused("/v1/db/d/transaction", R"({"statements":["SELECT 1","COMMIT"]})"), "statements[1]"));
  CHECK(has(refused("/v1/db/d/transaction", R"({"statements":[]})"), "statements"));
}

TEST_CASE("a token is taken from the body, the header or the cookie, and only for its database") {
  const auto token = encodeToken({DatabaseId("d"), {2, 30}, 77}, keys());
  const std::string body = R"({"sql":"SELECT 1"})";
  CHECK(accepted("/v1/db/d/query", R"({"sql":"SELECT 1","session":")" + token + "\"}").Session ==
        Position{2, 30});
  CHECK(accepted("/v1/db/d/query", body, {{"x-session-token", token}}).Session == Position{2, 30});
  CHECK(accepted("/v1/db/d/query", body, {{"Cookie", "a=b; rh_session=" + token + "; c=d"}}).Session ==
        Position{2, 30});
  CHECK(has(refused("/v1/db/e/query", body, {{"X-Session-Token", token}}), "another database"));
  CHECK(has(refused("/v1/db/d/query", body, {{"X-Session-Token", token + "A"}}), "not valid"));
}

// Guards transaction_isolation: a statement that ends the transaction lets the rest run in no transaction.
TEST_CASE("a statement cannot end the transaction or hide what follows it") {
  for (const auto *sql : {"",
                          "  ;",
                          "-- nothing",
                          "SELECT 1; SELECT 2",
                          "SELECT 1;;COMMIT",
                          "commit",
                          "/* x */ Begin",
                          "END",
                          "SELECT 'a",
                          "SELECT /* b",
                          "SELECT \"c",
                          "SELECT $$d",
                          "SELECT $x$ $y$",
                          "SET x = 1",
                          "SET\nSESSION x = 1",
                          "SELECT E'\\'; COMMIT; --'",
                          "SELECT '\\'; COMMIT; --'",
                          "SELECT /* /* */ 1; COMMIT; -- */ */",
                          "SELECT rosemaryhinge_promote(9)",
                          "SELECT \"Rosemaryhinge_keep\"('a','b')",
                          "SELECT U&\"rosemaryhinge\\005fpromote\"(9)",
                          "COPY t FROM STDIN",
                          "PREPARE x AS SELECT 1",
                          "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
                          "SELECT 1 ; ; x"}) {
    CHECK_MESSAGE(detail::statementProblem(sql), sql);
  }
  CHECK(detail::statementProblem(std::string_view("SELECT '\0'", 10)).has_value());
  for (const auto *sql :
       {"SELECT 1;", "SELECT ';COMMIT'", "SELECT 1 -- ; COMMIT", "SELECT \"a;b\" FROM t ; -- end",
        "DO $$ BEGIN PERFORM 1; END $$", "SELECT $1, a$b FROM t", "SET LOCAL x = 1",
        "SELECT /* a; b */ 'it''s'", "WITH a AS (SELECT 1) SELECT * FROM a"})
    CHECK_MESSAGE(!detail::statementProblem(sql), sql);
}

// Guards against crashes and against accepting a damaged token.
TEST_CASE("damaged requests are read or refused, never more") {
  std::mt19937_64 random(21);
  const std::string body =
      R"*({"statements":["INSERT INTO t VALUES ('x; y', $$a$$)","SELECT 1 /* c */"],"class":"c",)*"
      R"*("deadline_ms":100,"idempotency_key":"key","session":""})*";
  const auto token = encodeToken({DatabaseId("d"), {2, 30}, 77}, keys());
  for (int n = 0; n < 10'000; ++n) {
    const auto out = parse(testing::corrupt("/v1/db/d/transaction", random), testing::corrupt(body, random),
                           {{"X-Session-Token", n % 2 ? token : testing::corrupt(token, random)}});
    if (const auto *it = std::get_if<ParsedRequest>(&out)) {
      CHECK(it->Request.Session.value_or(Position{2, 30}) == Position{2, 30});
      for (const auto &sql : it->Request.Statements)
        CHECK(!detail::statementProblem(sql));
    }
  }
}

TEST_CASE("an answer holds the results and gives the token in body, header and cookie") {
  Success success;
  success.Results = {{{"a", "b"}, {{"1", std::nullopt}, {"\xff", ""}}, 2}};
  success.Session = Position{4, 50};
  success.ServedBy = TargetId("s1");
  const auto out = formatAnswer(success, {DatabaseId("d"), 9}, &keys());
  const auto doc = nlohmann::json::parse(out.Body);
  CHECK(doc["results"][0]["rows"][0][1].is_null());
  CHECK(doc["results"][0]["affected"] == 2);
  const auto token = doc["session"].get<std::string>();
  CHECK(std::get<SessionToken>(decodeToken(token, keys())) == SessionToken{DatabaseId("d"), {4, 50}, 9});
  REQUIRE(out.Headers.size() == 2);
  CHECK(out.Headers[0] == std::pair<std::string, std::string>("X-Session-Token", token));
  CHECK(out.Headers[1].second.starts_with("rh_session=" + token + "; Path=/v1/db/d;"));
}

TEST_CASE("a refusal says whether the request ran and when to try again") {
  for (std::size_t n = 0; n < RefusalReasonCount; ++n) {
    const auto reason = static_cast<RefusalReason>(n);
    const auto out = formatAnswer(Refusal{reason, Ran::Unknown, 1500us, "m"}, {}, nullptr);
    CHECK(out.Status >= 400);
    const auto error = nlohmann::json::parse(out.Body)["error"];
    CHECK(error["reason"] == std::string(toString(reason)));
    CHECK(error["ran"] == "unknown");
    CHECK(error["retry_after_ms"] == 2);
  }
}

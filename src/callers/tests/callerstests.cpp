// Tests of the matching between requests and open exchanges.

#include "callers/callers.h"

#include "http/tests/fakehttpserver.h"
#include "metrics/metrics.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

struct Fixture {
  Metrics Counters;
  std::vector<Event> Events;
  testing::FakeHttpServer *Http = nullptr;
  std::unique_ptr<ICallers> Callers;

  explicit Fixture(std::size_t maxOpen = 100) {
    auto server = std::make_unique<testing::FakeHttpServer>();
    Http = server.get();
    Callers = makeCallers(
        std::move(server), [this](Event event) { Events.push_back(std::move(event)); }, Counters, 5, maxOpen);
    Callers->start();
  }
  void setKeys() { Callers->setKeys({"k", {{"k", std::string(32, 'k')}}}); }
  HttpExchange query() { return Http->request("POST", "/v1/db/d/query", R"({"sql":"SELECT 1"})"); }
  [[nodiscard]] RequestId requestAt(std::size_t n) const {
    return std::get<RequestArrived>(Events.at(n)).Request.Id;
  }
  [[nodiscard]] std::string body(HttpExchange it) const { return Http->Answers.at(it).Body; }
};

Success successOf(const std::string &cell) {
  Success out;
  out.Results = {{{"c"}, {{cell}}, 1}};
  return out;
}

} // namespace

TEST_CASE("without keys callers get not_ready") {
  Fixture f;
  const auto exchange = f.query();
  CHECK(f.Events.empty());
  CHECK(f.body(exchange).find("not_ready") != std::string::npos);
  CHECK(f.Counters.value("refusals_total{reason=\"not_ready\"}") == 1);
}

// Guards answer_matching: each answer goes to the exchange of its own request, whatever the order.
TEST_CASE("answers in another order, doubled, late or unknown reach only their own request") {
  Fixture f;
  f.setKeys();
  const auto first = f.query();
  const auto second = f.query();
  const auto gone = f.query();
  f.Callers->respond(f.requestAt(1), successOf("two"));
  f.Callers->respond(f.requestAt(1), successOf("doubled"));
  f.Http->OnGone(gone);
  CHECK(std::get<CallerDisconnected>(f.Events.back()).Id == f.requestAt(2));
  f.Callers->respond(f.requestAt(2), successOf("late"));
  f.Callers->respond(RequestId{1}, successOf("unknown"));
  f.Callers->respond(f.requestAt(0), successOf("one"));
  CHECK(f.body(first).find("\"one\"") != std::string::npos);
  CHECK(f.body(second).find("\"two\"") != std::string::npos);
  CHECK(!f.Http->Answers.contains(gone));
  CHECK(f.Http->DoubleAnswers == 0);
  CHECK(f.Counters.value("caller_answers_unmatched_total") == 3);
}

// Guards answer_matching across a restart: a peer's late answer must not fit a new request.
TEST_CASE("request numbers of two starts do not overlap") {
  Fixture one;
  one.setKeys();
  one.query();
  Metrics counters;
  std::vector<Event> events;
  auto server = std::make_unique<testing::FakeHttpServer>();
  auto *http = server.get();
  const auto two = makeCallers(
      std::move(server), [&](Event event) { events.push_back(std::move(event)); }, counters, 6);
  two->setKeys({"k", {{"k", std::string(32, 'k')}}});
  two->start();
  http->request("POST", "/v1/db/d/query", R"({"sql":"SELECT 1"})");
  const auto a = one.requestAt(0).Value;
  const auto b = std::get<RequestArrived>(events.at(0)).Request.Id.Value;
  CHECK((a > b ? a - b : b - a) > 1'000'000'000);
}

TEST_CASE("open requests have a bound") {
  Fixture f(2);
  f.setKeys();
  f.query();
  f.query();
  CHECK(f.body(f.query()).find("overloaded") != std::string::npos);
  f.Callers->respond(f.requestAt(0), successOf("x"));
  f.query();
  CHECK(f.Events.size() == 3);
}

TEST_CASE("the unit of fair sharing is the session, or the address without one") {
  Fixture f;
  f.setKeys();
  const auto exchange = f.query();
  CHECK(std::get<RequestArrived>(f.Events[0]).Request.Caller == CallerId("address/10.0.0.9"));
  auto answer = successOf("x");
  answer.Session = Position{1, 2};
  f.Callers->respond(f.requestAt(0), answer);
  const auto token = f.Http->Answers.at(exchange).Headers.at(0).second;
  f.Http->request("POST", "/v1/db/d/query", R"({"sql":"SELECT 1"})", {{"X-Session-Token", token}});
  f.Http->request("POST", "/v1/db/d/query", R"({"sql":"SELECT 1"})", {{"X-Session-Token", token}});
  const auto &caller = std::get<RequestArrived>(f.Events[1]).Request.Caller;
  CHECK(caller.str().starts_with("session/"));
  CHECK(caller == std::get<RequestArrived>(f.Events[2]).Request.Caller);
}

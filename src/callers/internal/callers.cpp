// Callers' adapter: matches requests of the decision logic with open HTTP exchanges.

#include "callers/callers.h"

#include "callers/callercodec.h"
#include "net/bootclock.h"

#include <random>
#include <unordered_map>

namespace rosemaryhinge {

namespace {

constexpr Duration OverloadedRetryAfter = 1s;

struct OpenRequest {
  HttpExchange Exchange = 0;
  AnswerContext Context;
};

class Callers : public ICallers {
public:
  Callers(std::unique_ptr<IHttpServer> server, EventSink sink, IMetrics &metrics, std::uint64_t seed,
          std::size_t maxOpen)
      : Server(std::move(server)), Sink(std::move(sink)), Metrics(metrics), MaxOpen(maxOpen), Random(seed),
        LastId(Random() >> 1) {}

  void start() override {
    Server->start([this](const HttpRequest &request) { take(request); },
                  [this](HttpExchange exchange) { gone(exchange); });
  }

  void respond(RequestId id, const Answer &answer) override {
    const auto node = Open.extract(id);
    if (node.empty()) {
      Metrics.count("caller_answers_unmatched_total");
      return;
    }
    const auto &[exchange, context] = node.mapped();
    ByExchange.erase(exchange);
    Server->respond(exchange, formatAnswer(answer, context, Keys ? &*Keys : nullptr));
  }

  void setKeys(SessionKeys keys) override { Keys = std::move(keys); }
  [[nodiscard]] bool hasKeys() const override { return Keys.has_value(); }
  void stop() override { Server->stop(); }
  [[nodiscard]] std::uint16_t port() const override { return Server->port(); }
  [[nodiscard]] std::size_t pending() const override { return Server->pending(); }
  [[nodiscard]] std::size_t connections() const override { return Server->connections(); }

private:
  void refuse(HttpExchange exchange, const Refusal &refusal, int status) {
    std::string name("refusals_total{reason=\"");
    Metrics.count(name.append(toString(refusal.Reason)).append("\"}"));
    auto response = formatAnswer(refusal, {}, nullptr);
    response.Status = status;
    Server->respond(exchange, std::move(response));
  }
  void refuse(HttpExchange exchange, RefusalReason reason, std::string message) {
    refuse(exchange, Refusal{reason, Ran::NotRun, OverloadedRetryAfter, std::move(message)},
           httpStatus(reason));
  }

  void take(const HttpRequest &http) {
    if (!Keys) {
      refuse(http.Exchange, RefusalReason::NotReady, "the session keys have not been read yet");
      return;
    }
    if (Open.size() >= MaxOpen) {
      refuse(http.Exchange, RefusalReason::Overloaded, "too many open requests");
      return;
    }
    auto parsed = parseCallerRequest(http, *Keys, bootNow());
    if (const auto *error = std::get_if<CallerError>(&parsed)) {
      refuse(http.Exchange, error->Answer, error->Status);
      return;
    }
    auto &[request, session] = std::get<ParsedRequest>(parsed);
    request.Id = RequestId{++LastId};
    request.Caller = CallerId(session ? "session/" + std::to_string(*session) : "address/" + http.RemoteIp);
    Open.emplace(request.Id, OpenRequest{http.Exchange, {request.Database, session ? *session : Random()}});
    ByExchange.emplace(http.Exchange, request.Id);
    Sink(RequestArrived{std::move(request)});
  }

  void gone(HttpExchange exchange) {
    const auto node = ByExchange.extract(exchange);
    if (node.empty())
      return;
    Open.erase(node.mapped());
    Sink(CallerDisconnected{node.mapped()});
  }

  std::unique_ptr<IHttpServer> Server;
  EventSink Sink;
  IMetrics &Metrics;
  std::size_t MaxOpen;
  std::mt19937_64 Random;
  std::uint64_t LastId;
  std::optional<SessionKeys> Keys;
  std::unordered_map<RequestId, OpenRequest> Open;
  std::unordered_map<HttpExchange, RequestId> ByExchange; ///< Inverse of Open.
};

} // namespace

std::unique_ptr<ICallers> makeCallers(std::unique_ptr<IHttpServer> server, EventSink sink, IMetrics &metrics,
                                      std::uint64_t seed, std::size_t maxOpen) {
  return std::make_unique<Callers>(std::move(server), std::move(sink), metrics, seed, maxOpen);
}

} // namespace rosemaryhinge

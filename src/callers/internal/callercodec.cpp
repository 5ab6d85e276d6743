// HTTP requests of callers to requests of the decision logic.

#include "callers/callercodec.h"

#include "callers/internal/bodyreader.h"
#include "callers/internal/callerpath.h"
#include "callers/internal/tokencarrier.h"

namespace rosemaryhinge {

namespace {

using detail::BodyReader;
using detail::Operation;
using detail::refuse;
using detail::Route;

constexpr std::size_t MaxBodyToken = 2048;

TransactionStep stepOf(Operation op) {
  switch (op) {
  case Operation::Query:
  case Operation::Transaction:
    return TransactionStep::None;
  case Operation::Begin:
    return TransactionStep::Begin;
  case Operation::Statement:
    return TransactionStep::Statement;
  case Operation::Commit:
    return TransactionStep::Commit;
  case Operation::Rollback:
    break;
  }
  return TransactionStep::Rollback;
}

void readFields(BodyReader &body, Operation op, TimePoint now, CallerRequest &request) {
  request.Statements = body.statements(op);
  request.Class = ClassName(body.text("class", detail::MaxName));
  request.ReadOnly = body.flag("read_only");
  request.MaxStaleness = body.millis("max_staleness_ms", 0ms, 24h);
  if (request.MaxStaleness && !request.ReadOnly)
    body.fail("max_staleness_ms: needs read_only");
  const auto deadline = body.millis("deadline_ms", 1ms, MaxDeadline);
  request.Deadline = deadline ? now + *deadline : TimePoint();
  request.IdempotencyKey = body.text("idempotency_key", MaxIdempotencyKey);
  if (!request.IdempotencyKey.empty() && !detail::validName(request.IdempotencyKey))
    body.fail("idempotency_key: control characters, ' and \\ are not allowed");
}

std::variant<SessionToken, CallerError> readToken(std::string_view token, const SessionKeys &keys,
                                                  const DatabaseId &database) {
  auto decoded = decodeToken(token, keys);
  if (const auto *error = std::get_if<TokenError>(&decoded))
    return refuse(httpStatus(RefusalReason::BadSessionToken),
                  "session: the token is not valid: " + std::string(toString(*error)),
                  RefusalReason::BadSessionToken);
  const auto &session = std::get<SessionToken>(decoded);
  if (session.Database != database)
    return refuse(httpStatus(RefusalReason::BadSessionToken), "session: the token is of another database",
                  RefusalReason::BadSessionToken);
  return session;
}

} // namespace

std::variant<ParsedRequest, CallerError> parseCallerRequest(const HttpRequest &http, const SessionKeys &keys,
                                                            TimePoint now) {
  auto path = detail::parsePath(http.Path);
  if (auto *error = std::get_if<CallerError>(&path))
    return std::move(*error);
  const auto &route = std::get<Route>(path);
  if (http.Method != "POST")
    return refuse(405, "the method must be POST");

  BodyReader body(http.Body);
  ParsedRequest out;
  auto &request = out.Request;
  request.Database = route.Database;
  request.Transaction = route.Transaction;
  request.Step = stepOf(route.Op);
  readFields(body, route.Op, now, request);
  std::string token = body.text("session", MaxBodyToken);
  if (auto problem = body.finish())
    return refuse(400, std::move(*problem));

  token = detail::carriedToken(http, std::move(token));
  if (token.empty())
    return out;
  auto session = readToken(token, keys, route.Database);
  if (auto *error = std::get_if<CallerError>(&session))
    return std::move(*error);
  const auto &known = std::get<SessionToken>(session);
  request.Session = known.At;
  out.Session = known.Session;
  return out;
}

} // namespace rosemaryhinge

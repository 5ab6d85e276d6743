// Answers to callers as HTTP responses: status, headers and JSON body.

#include "callers/callercodec.h"

#include "base/overloaded.h"
#include "callers/internal/tokencarrier.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace rosemaryhinge {

namespace {

using Json = nlohmann::json;

Json toJson(const StatementResult &result) {
  auto rows = Json::array();
  for (const auto &cells : result.Rows) {
    auto row = Json::array();
    for (const auto &it : cells)
      row.push_back(it ? Json(*it) : Json(nullptr));
    rows.push_back(std::move(row));
  }
  return Json{{"columns", result.Columns}, {"rows", std::move(rows)}, {"affected", result.Affected}};
}

std::string dump(const Json &doc) {
  // Servers may hold text that is not UTF-8.
  return doc.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse format(const Success &it, const AnswerContext &context, const SessionKeys *keys) {
  HttpResponse out;
  Json doc{{"results", Json::array()},
           {"served_by", it.ServedBy.str()},
           {"served_by_replica", it.ServedByReplica},
           {"replayed", it.Replayed}};
  for (const auto &one : it.Results)
    doc["results"].push_back(toJson(one));
  if (!it.Transaction.empty())
    doc["transaction"] = publicTransactionId(context.Database, it.Transaction);
  if (it.Session && keys && !context.Database.empty()) {
    const auto token = encodeToken({context.Database, *it.Session, context.Session}, *keys);
    doc["session"] = token;
    detail::addToken(out, context.Database, token);
  }
  out.Body = dump(doc);
  return out;
}

HttpResponse format(const Refusal &it) {
  HttpResponse out;
  out.Status = httpStatus(it.Reason);
  Json error{{"reason", toString(it.Reason)}, {"ran", toString(it.Ran)}, {"message", it.Message}};
  error["retry_after_ms"] = nullptr;
  if (it.RetryAfter) {
    error["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*it.RetryAfter).count();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*it.RetryAfter).count();
    out.Headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  // A caller that reconnects reaches another proxy through the balancer.
  out.Close = it.Reason == RefusalReason::ShuttingDown || it.Reason == RefusalReason::NotReady;
  out.Body = dump(Json{{"error", std::move(error)}});
  return out;
}

} // namespace

HttpResponse formatAnswer(const Answer &answer, const AnswerContext &context, const SessionKeys *keys) {
  return std::visit(Overloaded{[&](const Success &it) { return format(it, context, keys); },
                               [](const Refusal &it) { return format(it); }},
                    answer);
}

int httpStatus(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::BadRequest:
  case RefusalReason::BadSessionToken:
    return 400;
  case RefusalReason::UnknownDatabase:
  case RefusalReason::UnknownTransaction:
    return 404;
  case RefusalReason::SessionWriteLost:
  case RefusalReason::SessionAhead:
  case RefusalReason::DuplicateInProgress:
  case RefusalReason::TransactionLost:
    return 409;
  case RefusalReason::SqlError:
    return 422;
  case RefusalReason::Overloaded:
    return 429;
  case RefusalReason::LostAnswer:
  case RefusalReason::InvariantBroken:
    return 500;
  case RefusalReason::PeerUnreachable:
    return 502;
  case RefusalReason::NoPrimary:
  case RefusalReason::NoTarget:
  case RefusalReason::ShuttingDown:
  case RefusalReason::NotReady:
  case RefusalReason::StoreUnavailable:
    return 503;
  case RefusalReason::DeadlineExceeded:
  case RefusalReason::OutcomeUnknown:
    break;
  }
  return 504;
}

} // namespace rosemaryhinge

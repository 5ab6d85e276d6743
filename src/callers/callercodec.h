// HTTP and JSON of the callers' interface to requests, and answers back.

#pragma once

#include "callers/sessiontoken.h"
#include "http/ihttpserver.h"
#include "protocol/request.h"

#include <optional>
#include <variant>

namespace rosemaryhinge {

/// Longest deadline that a caller may ask for.
inline constexpr Duration MaxDeadline = 600s;
/// Most statements in one request.
inline constexpr std::size_t MaxStatements = 1000;
inline constexpr std::size_t MaxIdempotencyKey = 128;

struct ParsedRequest {
  /// Without Id. Deadline is the zero time point if the caller gave none: its class's default applies.
  CallerRequest Request;
  std::optional<std::uint64_t> Session; ///< Of the token.
};

/// A request that is refused before it reaches the decision logic.
struct CallerError {
  int Status = 400;
  Refusal Answer;
};

/// Refuses bad input with the place of the fault in the message. Keys must hold a current key.
[[nodiscard]] std::variant<ParsedRequest, CallerError>
parseCallerRequest(const HttpRequest &http, const SessionKeys &keys, TimePoint now);

/// What an answer needs to know of its request.
struct AnswerContext {
  DatabaseId Database;
  std::uint64_t Session = 0;
};

/// Keys may be null if no answer needs a token.
[[nodiscard]] HttpResponse formatAnswer(const Answer &answer, const AnswerContext &context,
                                        const SessionKeys *keys);
/// HTTP status of a refusal.
[[nodiscard]] int httpStatus(RefusalReason reason);

/// A transaction id as callers see it holds the database, so that any proxy can name it in the session token.
[[nodiscard]] std::string publicTransactionId(const DatabaseId &database, const TransactionId &id);

} // namespace rosemaryhinge

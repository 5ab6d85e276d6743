// Answer of a proxy as the load sees it.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::load {

/// What an HTTP exchange came to.
enum class Exchange : std::uint8_t {
  Answered,
  NotSent, ///< No connection: the request reached nobody.
  Cut,     ///< The connection ended between the request and the whole answer.
};

enum class Effect : std::uint8_t { Ran, NotRun, Unknown };

struct Reply {
  Exchange Transport = Exchange::NotSent;
  int Status = 0;
  std::string Body;

  // Read from the body.
  bool Ok = false;
  std::string Reason; ///< Of a refusal.
  Effect Outcome = Effect::Unknown;
  std::string Session;
  bool ByReplica = false;
  bool Replayed = false;
  std::vector<std::vector<std::string>> LastRows; ///< Of the last statement; null is the empty text.
};

/// Fills in what the body says. A body that cannot be read leaves the outcome unknown.
void readBody(Reply &reply);

struct ResponseHead {
  int Status = 0;
  std::size_t Length = 0;
  bool Close = false;
};
/// Parses status line and headers up to the empty line. None if malformed or of unknown length.
[[nodiscard]] std::optional<ResponseHead> parseResponseHead(std::string_view head);

} // namespace rosemaryhinge::load

// Implementation of the comparisons of log positions with session tokens.

#include "session/coverage.h"

#include <algorithm>

namespace rosemaryhinge {

bool isRetained(Position position, std::span<const TermStart> history) {
  // Check all later terms, not only the next one: a term whose writes were never replicated can be followed
  // by a term that starts at a lower position.
  return std::none_of(history.begin(), history.end(), [&](const TermStart &it) {
    return it.Term > position.Term && position.Lsn > it.Start;
  });
}

std::optional<Position> toLatestTerm(Position token, std::span<const TermStart> history) {
  if (!isRetained(token, history))
    return std::nullopt;
  for (const auto &it : history)
    token.Term = std::max(token.Term, it.Term);
  return token;
}

bool covers(Position position, Position token, std::span<const TermStart> history) {
  if (position.Term == token.Term)
    return position.Lsn >= token.Lsn;
  if (position.Term < token.Term)
    return false;
  bool reachesTerm = false;
  for (const auto &it : history) {
    if (it.Term <= token.Term || it.Term > position.Term)
      continue;
    if (token.Lsn > it.Start)
      return false;
    reachesTerm = reachesTerm || it.Term == position.Term;
  }
  return reachesTerm && position.Lsn >= token.Lsn;
}

} // namespace rosemaryhinge

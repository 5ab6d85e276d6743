// The log of one server: the commits that it has received, in their order.

#pragma once

#include "platformsoak/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryhinge::platformsoak {

constexpr int PositionNumberBits = 40;
/// Orders positions of all terms.
constexpr std::uint64_t orderedPosition(std::uint64_t term, std::uint64_t number) {
  return term << PositionNumberBits | number;
}

/// TERM.NUMBER.
[[nodiscard]] std::string positionText(std::uint64_t position);

/// A commit that writes.
struct LoggedCommit {
  std::uint64_t Term = 0, Number = 0;
  Millis At = 0;
  std::string Statement; ///< That committed it.
  std::optional<Millis> AcknowledgedAt;
  bool RolledBack = false; ///< The server of a promotion did not have it.

  [[nodiscard]] std::uint64_t position() const { return orderedPosition(Term, Number); }
};
using CommitRef = std::shared_ptr<LoggedCommit>;

class ServerLog {
public:
  /// The number of the last commit.
  [[nodiscard]] std::uint64_t end() const { return Start + Commits.size(); }
  [[nodiscard]] bool contains(const LoggedCommit &commit) const;
  void append(CommitRef commit) { Commits.push_back(std::move(commit)); }
  /// The number of the last one of the commits up to this time.
  [[nodiscard]] std::uint64_t endAt(Millis at) const;
  /// Takes over what the other log holds up to this number.
  void receive(const ServerLog &from, std::uint64_t until);
  /// Becomes the other log up to this number.
  void replaceBy(const ServerLog &from, std::uint64_t until);
  void clear() { Commits.clear(); }

private:
  static constexpr std::uint64_t Start = 1'200;
  std::vector<CommitRef> Commits;
};

} // namespace rosemaryhinge::platformsoak

// The log of one server.

#include "platformsoak/serverlog.h"

namespace rosemaryhinge::platformsoak {

std::string positionText(std::uint64_t position) {
  const auto term = position >> PositionNumberBits;
  return std::to_string(term) + "." + std::to_string(position - orderedPosition(term, 0));
}

bool ServerLog::contains(const LoggedCommit &commit) const {
  return commit.Number > Start && commit.Number <= end() &&
         Commits[commit.Number - Start - 1].get() == &commit;
}

std::uint64_t ServerLog::endAt(Millis at) const {
  auto out = end();
  while (out > Start && Commits[out - Start - 1]->At > at)
    --out;
  return out;
}

void ServerLog::receive(const ServerLog &from, std::uint64_t until) {
  for (auto number = end(); number < until; ++number)
    Commits.push_back(from.Commits[number - Start]);
}

void ServerLog::replaceBy(const ServerLog &from, std::uint64_t until) {
  Commits.clear();
  receive(from, until);
}

} // namespace rosemaryhinge::platformsoak

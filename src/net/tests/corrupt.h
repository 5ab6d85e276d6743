// Random damage for tests of decoders.

#pragma once

#include <random>
#include <string>

namespace rosemaryhinge::testing {

/// One to four changes: a byte replaced, bytes cut off, removed or doubled.
inline std::string corrupt(std::string text, std::mt19937_64 &random) {
  const auto pick = [&](std::size_t below) { return static_cast<std::size_t>(random() % below); };
  for (auto n = 1 + pick(4); n > 0 && !text.empty(); --n) {
    const auto at = pick(text.size());
    switch (pick(5)) {
    case 0:
      text[at] = static_cast<char>(random());
      break;
    case 1:
      text[at] = static_cast<char>(text[at] ^ (1 << pick(8)));
      break;
    case 2:
      text.resize(at);
      break;
    case 3:
      text.erase(at, 1 + pick(8));
      break;
    default:
      text.insert(at, text.substr(at, 1 + pick(16)));
    }
  }
  return text;
}

} // namespace rosemaryhinge::testing

// Findings: what is wrong with an input, with the place, collected and reported together.

#pragma once

#include <string>
#include <vector>

namespace rosemaryhinge {

struct Diagnostic {
  std::string File;
  int Line = 0;   ///< From 1; 0 if the place is not known.
  int Column = 0; ///< From 1; 0 if the place is not known.
  std::string Message;

  [[nodiscard]] std::string str() const;
};

using Diagnostics = std::vector<Diagnostic>;

} // namespace rosemaryhinge

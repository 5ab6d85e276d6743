// Diagnostics: errors in an input with their source locations, collected and reported together.

#pragma once

#include <string>
#include <vector>

namespace rosemaryhinge {

struct Diagnostic {
  std::string File;
  int Line = 0;   ///< 1-based; 0 if unknown.
  int Column = 0; ///< 1-based; 0 if unknown.
  std::string Message;

  [[nodiscard]] std::string str() const;
};

using Diagnostics = std::vector<Diagnostic>;

} // namespace rosemaryhinge

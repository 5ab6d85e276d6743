// Formats diagnostics as file:line:column: message.

#include "base/finding.h"

namespace rosemaryhinge {

std::string Diagnostic::str() const {
  std::string out = File;
  if (Line > 0)
    out += ":" + std::to_string(Line) + ":" + std::to_string(Column);
  return out + ": " + Message;
}

} // namespace rosemaryhinge

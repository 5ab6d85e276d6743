// A way to run statements: directly at a server, or through a proxy.

#pragma once

#include <string>

namespace rosemaryhinge::compare {

class IPath {
public:
  virtual ~IPath() = default;

  /// Runs one statement in a transaction of its own and waits for the answer. False if it failed.
  virtual bool read(const std::string &sql) = 0;
  virtual bool write(const std::string &sql) = 0;
};

} // namespace rosemaryhinge::compare

// Statements sent to a server through libpq, without a proxy.

#pragma once

#include "compare/ipath.h"

#include <libpq-fe.h>
#include <memory>
#include <string>

namespace rosemaryhinge::compare {

/// The baseline: one blocking connection.
class DirectPath : public IPath {
public:
  /// Address is IP:PORT. Throws std::runtime_error if the server cannot be reached.
  DirectPath(const std::string &address, const std::string &database);

  bool read(const std::string &sql) override;
  bool write(const std::string &sql) override;

private:
  bool run(const std::string &sql);

  std::unique_ptr<PGconn, decltype(&PQfinish)> Connection;
};

} // namespace rosemaryhinge::compare

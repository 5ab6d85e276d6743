// Statements sent to a proxy over its HTTP interface.

#pragma once

#include "compare/ipath.h"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace rosemaryhinge::compare {

/// One kept-alive HTTP connection.
class ProxyPath : public IPath {
public:
  /// Address is the IP:PORT of a proxy's callers port.
  ProxyPath(const std::string &address, const std::string &database);

  bool read(const std::string &sql) override;
  bool write(const std::string &sql) override;

private:
  bool post(const std::string &sql, bool readOnly);

  std::string Url;
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> Handle;
  std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> Headers;
};

} // namespace rosemaryhinge::compare

// The cases.

#pragma once

#include "world2.h"

namespace review2 {

struct Setup {
  std::string Program; ///< rosemaryhinge-platformd
  std::string Record;
  bool Trouble = true;
};

/// A folder of its own for settings and logs of the proxies; removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder() {
    const char *base = std::getenv("TMPDIR");
    std::string name = std::string(base && *base ? base : "/tmp") + "/review2-XXXXXX";
    if (!::mkdtemp(name.data()))
      throw std::runtime_error("no temporary folder");
    Name = name;
  }
  ~TemporaryFolder() {
    if (const char *keep = std::getenv("KEEP"); keep && *keep) {
      std::fprintf(stderr, "kept %s\n", Name.c_str());
      return;
    }
    for (const auto &it : Files)
      ::unlink((Name + "/" + it).c_str());
    ::rmdir(Name.c_str());
  }
  std::string Name;
  std::vector<std::string> Files;
};

int resetOrder(const Setup &setup);
int abandonedValues(const Setup &setup);
int forgottenPosition(const Setup &setup);
int unlistedProxy(const Setup &setup);

} // namespace review2

// The cases of the second review that are scripts. Each starts proxies as processes of their own, plays its
// disruption unless TROUBLE=0, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
//
// Usage: world2 CASE PROGRAM RECORD

#include "cases.h"

#include <cstdio>

int main(int argc, char **argv) {
  using namespace review2;
  if (argc != 4)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  const char *trouble = std::getenv("TROUBLE");
  const Setup setup{argv[2], argv[3], !(trouble && std::string(trouble) == "0")};
  int out = 2;
  try {
    const std::string name = argv[1];
    if (name == "reset-order")
      out = resetOrder(setup);
    else if (name == "abandoned-values")
      out = abandonedValues(setup);
    else if (name == "forgotten-position")
      out = forgottenPosition(setup);
    else if (name == "unlisted-proxy")
      out = unlistedProxy(setup);
  } catch (const std::exception &e) {
    std::fprintf(stderr, "cannot run: %s\n", e.what());
  }
  std::fflush(nullptr);
  // The threads of the stand-ins end with the process.
  ::_exit(out);
}

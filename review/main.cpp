// Runs one case: standin CASE RECORD FOLDER. TROUBLE=0 in the environment leaves the disruption out.
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "world.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace review {
int crashCase(const std::string &folder, Record &record, bool trouble);
int shutdownCase(const std::string &folder, Record &record, bool trouble);
int twiceCase(const std::string &folder, Record &record, bool trouble);
} // namespace review

int main(int argc, char **argv) {
  using namespace review;
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 4)
    return 2;
  const char *word = std::getenv("TROUBLE");
  const bool trouble = !word || std::string(word) != "0";
  Record record(argv[2]);
  const std::string name = argv[1];
  int out = 2;
  if (name == "crash")
    out = crashCase(argv[3], record, trouble);
  else if (name == "shutdown")
    out = shutdownCase(argv[3], record, trouble);
  else if (name == "twice")
    out = twiceCase(argv[3], record, trouble);
  record.line(out == 1 ? "RULE BROKEN" : out == 0 ? "rule held" : "the case could not run");
  std::cout << name << (trouble ? "" : " without the disruption") << ": "
            << (out == 1 ? "rule broken" : out == 0 ? "rule held" : "could not run") << std::endl;
  std::_Exit(out);
}

// Command line of a daemon.

#include "daemon/options.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <popt.h>

namespace rosemaryhinge {

namespace {

constexpr int ExitUsage = 2;

struct Options {
  std::string Settings;
  bool Check = false;
  bool PrintEffective = false;
  bool Version = false;
};

/// Reads the command line; false after a message about what is wrong.
bool readOptions(int argc, char **argv, const std::string &name, Options &out) {
  char *file = nullptr;
  int check = 0;
  int print = 0;
  int version = 0;
  const poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, static_cast<void *>(&file), 0, "local settings (YAML)", "FILE"},
      {"check", 0, POPT_ARG_NONE, static_cast<void *>(&check), 0, "check the settings and end", nullptr},
      {"print-effective", 0, POPT_ARG_NONE, static_cast<void *>(&print), 0,
       "print the settings in effect and end", nullptr},
      {"version", 0, POPT_ARG_NONE, static_cast<void *>(&version), 0, "print the release and end", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (file)
    out.Settings = file;
  free(file);
  out.Check = check != 0;
  out.PrintEffective = print != 0;
  out.Version = version != 0;
  if (rc < -1) {
    std::cerr << name << ": " << poptBadOption(context.get(), 0) << ": " << poptStrerror(rc) << "\n";
    return false;
  }
  if (const char *rest = poptPeekArg(context.get())) {
    std::cerr << name << ": " << rest << ": unexpected argument\n";
    return false;
  }
  if (out.Settings.empty() && !out.Version) {
    std::cerr << "rosemaryhinged: --settings FILE is missing; see --help\n";
    return false;
  }
  return true;
}

} // namespace

int startDaemon(int argc, char **argv, const std::string &name,
                const std::function<int(const LocalSettings &, const std::string &file)> &run) {
  Options options;
  if (!readOptions(argc, argv, name, options))
    return ExitUsage;
  if (options.Version) {
    std::cout << name << " " << NodeConfig().Release << "\n";
    return 0;
  }
  // Until ReloadSignal handles it: the settings that are read now are the changed ones.
  std::signal(SIGHUP, SIG_IGN);
  const auto settings = loadLocalSettings(options.Settings);
  if (const auto *findings = std::get_if<Diagnostics>(&settings)) {
    for (const auto &it : *findings)
      std::cerr << it.str() << "\n";
    return 1;
  }
  if (options.PrintEffective)
    std::cout << formatLocalSettings(std::get<LocalSettings>(settings));
  if (options.Check || options.PrintEffective)
    return 0;
  return run(std::get<LocalSettings>(settings), options.Settings);
}

} // namespace rosemaryhinge

// rosemaryhinge-standin: the platform and the database groups on loopback, for tests and the demo.

#include "standin/world.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <popt.h>
#include <string>

namespace {

using namespace rosemaryhinge::standin;

struct Options {
  std::string Config;
  std::string Deployment = "paalisoft";
  std::string Settings;
  std::string Script;
  int Port = 7000;
};

/// None if the options are wrong; the reason is printed.
bool readOptions(int argc, char **argv, Options &out) {
  char *config = nullptr;
  char *deployment = nullptr;
  char *settings = nullptr;
  char *script = nullptr;
  const poptOption table[] = {
      {"config", 'c', POPT_ARG_STRING, static_cast<void *>(&config), 0, "set-up as YAML", "FILE"},
      {"deployment", 'd', POPT_ARG_STRING, static_cast<void *>(&deployment), 0,
       "paalisoft (default) or openraad; without --config", "NAME"},
      {"settings", 's', POPT_ARG_STRING, static_cast<void *>(&settings), 0, "initial settings/tree as YAML",
       "FILE"},
      {"script", 0, POPT_ARG_STRING, static_cast<void *>(&script), 0, "timed faults as YAML", "FILE"},
      {"port", 'p', POPT_ARG_INT, static_cast<void *>(&out.Port), 0, "platform's port; the servers' follow",
       "PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), &poptFreeContext);
  auto rc = poptGetNextOpt(context.get());
  auto take = [](char *text, std::string &to) {
    if (text != nullptr)
      to = text;
    free(text);
  };
  take(config, out.Config);
  take(deployment, out.Deployment);
  take(settings, out.Settings);
  take(script, out.Script);
  if (rc < -1 || poptPeekArg(context.get()) != nullptr || out.Port < 0 || out.Port > 65'000) {
    std::cerr << "rosemaryhinge-standin: wrong options; see --help\n";
    return false;
  }
  return true;
}

Deployment deploymentOf(const Options &options) {
  if (!options.Config.empty())
    return loadDeployment(options.Config);
  auto out = namedDeployment(options.Deployment);
  out.Port = static_cast<std::uint16_t>(options.Port);
  out.SettingsFile = options.Settings;
  return out;
}

void run(const Options &options) {
  asio::io_context io;
  auto deployment = deploymentOf(options);
  if (!options.Script.empty())
    deployment.Script = loadScript(options.Script);
  World world(io, std::move(deployment));
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code, int) { io.stop(); });
  std::cout << "ready platform=http://127.0.0.1:" << world.port() << std::endl;
  io.run();
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  if (!readOptions(argc, argv, options))
    return 2;
  try {
    run(options);
  } catch (const std::exception &error) {
    std::cerr << "rosemaryhinge-standin: " << error.what() << '\n';
    return 1;
  }
  return 0;
}

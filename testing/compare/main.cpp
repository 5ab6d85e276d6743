// rosemaryhinge-compare: latency and throughput through a proxy against the stand-in reached directly, in one
// run and alternating, so that a busy machine slows both.

#include "compare/directpath.h"
#include "compare/measurement.h"
#include "compare/proxypath.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <popt.h>
#include <string>
#include <vector>

namespace {

using namespace rosemaryhinge::compare;

struct Options {
  std::string Proxy;
  std::string Server;
  std::string Database;
  int Rounds = 3;
  int Milliseconds = 1000;
};

constexpr std::size_t Rows = 64;
constexpr int MaxRounds = 20;
constexpr int MaxMilliseconds = 10'000;

void report(const char *kind, std::size_t workers, const Sample &proxy, const Sample &direct) {
  std::printf(R"({"kind":"%s","workers":%zu,"proxy_p50_ms":%.3f,"direct_p50_ms":%.3f,"proxy_p99_ms":%.3f,)"
              R"("direct_p99_ms":%.3f,"proxy_per_s":%.0f,"direct_per_s":%.0f,"p50_ratio":%.2f,)"
              R"("throughput_ratio":%.2f,"failures":%zu})"
              "\n",
              kind, workers, proxy.P50Ms, direct.P50Ms, proxy.P99Ms, direct.P99Ms, proxy.PerSecond,
              direct.PerSecond, proxy.P50Ms / direct.P50Ms, proxy.PerSecond / direct.PerSecond,
              proxy.Failures + direct.Failures);
  std::fflush(stdout);
}

void prepare(const Options &options) {
  DirectPath path(options.Server, options.Database);
  path.write("CREATE TABLE IF NOT EXISTS compare_rows (id INTEGER PRIMARY KEY, value INTEGER)");
  for (std::size_t n = 0; n < Rows; ++n)
    path.write("INSERT INTO compare_rows VALUES (" + std::to_string(n) + ", 0)");
}

void run(const Options &options) {
  prepare(options);
  const PathMaker proxy = [&] { return std::make_unique<ProxyPath>(options.Proxy, options.Database); };
  const PathMaker direct = [&] { return std::make_unique<DirectPath>(options.Server, options.Database); };
  const std::chrono::milliseconds length(options.Milliseconds);
  for (int round = 0; round < options.Rounds; ++round)
    for (std::size_t workers : {1U, 16U})
      for (bool write : {false, true}) {
        auto through = measure(proxy, workers, length, write);
        auto without = measure(direct, workers, length, write);
        report(write ? "write" : "read", workers, through, without);
      }
}

bool readOptions(int argc, char **argv, Options &out) {
  char *proxy = nullptr;
  char *server = nullptr;
  char *database = nullptr;
  const poptOption table[] = {
      {"proxy", 'p', POPT_ARG_STRING, static_cast<void *>(&proxy), 0, "callers port of a proxy", "IP:PORT"},
      {"server", 's', POPT_ARG_STRING, static_cast<void *>(&server), 0, "the primary's port", "IP:PORT"},
      {"database", 'd', POPT_ARG_STRING, static_cast<void *>(&database), 0, "database", "NAME"},
      {"rounds", 'r', POPT_ARG_INT, static_cast<void *>(&out.Rounds), 0, "rounds (default 3)", "N"},
      {"length", 'l', POPT_ARG_INT, static_cast<void *>(&out.Milliseconds), 0, "length of a sample", "MS"},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), &poptFreeContext);
  bool ok = poptGetNextOpt(context.get()) == -1 && proxy != nullptr && server != nullptr &&
            database != nullptr && out.Rounds > 0 && out.Rounds <= MaxRounds && out.Milliseconds > 0 &&
            out.Milliseconds <= MaxMilliseconds;
  if (ok) {
    out.Proxy = proxy;
    out.Server = server;
    out.Database = database;
  }
  free(proxy);
  free(server);
  free(database);
  return ok;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  if (!readOptions(argc, argv, options)) {
    std::cerr << "rosemaryhinge-compare: wrong options; see --help\n";
    return 2;
  }
  try {
    run(options);
  } catch (const std::exception &error) {
    std::cerr << "rosemaryhinge-compare: " << error.what() << '\n';
    return 1;
  }
  return 0;
}

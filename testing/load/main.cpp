// rosemaryhinge-load: open-loop load on the callers' ports of one or several proxies.

#include "load/runner.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <popt.h>
#include <string>
#include <string_view>

namespace {

using rosemaryhinge::load::Runner;
using rosemaryhinge::load::RunOptions;

/// Bounds of a run, so that a wrong option cannot start an endless one.
constexpr double MaxRate = 20'000;
constexpr double MaxSeconds = 3'600;
constexpr double MaxArrivals = 2'000'000;

std::optional<asio::ip::tcp::endpoint> parseAddress(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::error_code ec;
  auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  auto port = std::strtoul(std::string(text.substr(colon + 1)).c_str(), nullptr, 10);
  if (ec || !ip.is_loopback() || port == 0 || port > UINT16_MAX)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

bool valid(const RunOptions &it) {
  auto arrivals = it.Rate * (it.Seconds + it.CrestFor * (it.CrestFactor - 1));
  return !it.Proxies.empty() && it.Rate > 0 && it.Rate * it.CrestFactor <= MaxRate && it.Seconds > 0 &&
         it.Seconds <= MaxSeconds && it.CrestFactor > 0 && it.CrestFor >= 0 && arrivals <= MaxArrivals;
}

/// None if the options are wrong; the reason is printed.
std::optional<RunOptions> readOptions(int argc, char **argv) {
  RunOptions out;
  char *mix = nullptr;
  int seed = 1;
  int connections = 200;
  int deadline = 5000;
  const poptOption table[] = {
      {"mix", 'm', POPT_ARG_STRING, static_cast<void *>(&mix), 0, "paalisoft (default) or openraad", "NAME"},
      {"rate", 'r', POPT_ARG_DOUBLE, static_cast<void *>(&out.Rate), 0, "arrivals per second", "N"},
      {"seconds", 's', POPT_ARG_DOUBLE, static_cast<void *>(&out.Seconds), 0, "length of the run", "S"},
      {"seed", 0, POPT_ARG_INT, static_cast<void *>(&seed), 0, "seed of the arrivals", "N"},
      {"connections", 'c', POPT_ARG_INT, static_cast<void *>(&connections), 0, "most connections at once",
       "N"},
      {"deadline-ms", 'd', POPT_ARG_INT, static_cast<void *>(&deadline), 0, "deadline of each request", "MS"},
      {"crest-factor", 0, POPT_ARG_DOUBLE, static_cast<void *>(&out.CrestFactor), 0,
       "multiplies the rate during the crest", "F"},
      {"crest-at", 0, POPT_ARG_DOUBLE, static_cast<void *>(&out.CrestAt), 0, "start of the crest", "S"},
      {"crest-for", 0, POPT_ARG_DOUBLE, static_cast<void *>(&out.CrestFor), 0, "length of the crest", "S"},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(nullptr, argc, const_cast<const char **>(argv), table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] IP:PORT...");
  auto rc = poptGetNextOpt(context.get());
  if (mix != nullptr)
    out.Mix = mix;
  free(mix);
  out.Seed = static_cast<std::uint64_t>(seed);
  out.MaxConnections = static_cast<std::size_t>(std::max(connections, 1));
  out.DeadlineMs = static_cast<std::uint32_t>(std::max(deadline, 1));
  auto known = rc == -1;
  while (const auto *text = poptGetArg(context.get())) {
    auto address = parseAddress(text);
    known = known && address;
    if (address)
      out.Proxies.push_back(*address);
  }
  if (!known || !valid(out)) {
    std::cerr << "rosemaryhinge-load: wrong options or addresses, or a run beyond the bounds; see --help\n";
    return std::nullopt;
  }
  auto now = std::chrono::system_clock::now().time_since_epoch();
  out.Run = "r" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  return out;
}

} // namespace

int main(int argc, char **argv) {
  auto options = readOptions(argc, argv);
  if (!options)
    return 2;
  try {
    asio::io_context io;
    Runner runner(io, std::move(*options));
    runner.start();
    io.run();
    std::cout << runner.report() << '\n';
    return runner.exitCode();
  } catch (const std::exception &error) {
    std::cerr << "rosemaryhinge-load: " << error.what() << '\n';
    return 2;
  }
}

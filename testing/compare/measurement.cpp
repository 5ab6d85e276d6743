// Closed-loop workers.

#include "compare/measurement.h"

#include <algorithm>
#include <thread>
#include <vector>

namespace rosemaryhinge::compare {

namespace {

using Clock = std::chrono::steady_clock;

struct Worker {
  std::vector<double> LatenciesMs;
  std::size_t Failures = 0;
};

void work(IPath &path, Worker &worker, std::size_t number, Clock::time_point until, bool write) {
  const std::string read = "SELECT 1";
  const auto update = "UPDATE compare_rows SET value = value + 1 WHERE id = " + std::to_string(number);
  for (auto at = Clock::now(); at < until;) {
    if (!(write ? path.write(update) : path.read(read)))
      ++worker.Failures;
    auto now = Clock::now();
    worker.LatenciesMs.push_back(std::chrono::duration<double, std::milli>(now - at).count());
    at = now;
  }
}

double quantile(const std::vector<double> &sorted, double q) {
  if (sorted.empty())
    return 0;
  return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

} // namespace

Sample measure(const PathMaker &maker, std::size_t workers, std::chrono::milliseconds length, bool write) {
  std::vector<std::unique_ptr<IPath>> paths;
  for (std::size_t n = 0; n < workers; ++n)
    paths.push_back(maker());
  std::vector<Worker> results(workers);
  std::vector<std::thread> threads;
  const auto until = Clock::now() + length;
  for (std::size_t n = 0; n < workers; ++n)
    threads.emplace_back([&, n] { work(*paths[n], results[n], n, until, write); });
  for (auto &it : threads)
    it.join();
  Sample out;
  std::vector<double> all;
  for (const auto &it : results) {
    all.insert(all.end(), it.LatenciesMs.begin(), it.LatenciesMs.end());
    out.Failures += it.Failures;
  }
  std::sort(all.begin(), all.end());
  out.Answers = all.size();
  out.PerSecond = static_cast<double>(all.size()) / std::chrono::duration<double>(length).count();
  out.P50Ms = quantile(all, 0.5);
  out.P99Ms = quantile(all, 0.99);
  return out;
}

} // namespace rosemaryhinge::compare

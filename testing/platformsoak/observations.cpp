// What callers, servers and the platform have seen.

#include "platformsoak/observations.h"

namespace rosemaryhinge::platformsoak {

void Observations::line(std::string_view text) {
  const std::lock_guard hold(Lock);
  Out << nowMs() << " ms  " << text << std::endl;
}

void Observations::addRequest(Request request) {
  const std::lock_guard hold(Lock);
  Requests.push_back(std::move(request));
}

std::size_t Observations::startRun(const std::string &id, ServerRun run) {
  const std::lock_guard hold(Lock);
  auto &all = Runs[id];
  all.push_back(std::move(run));
  return all.size() - 1;
}

void Observations::finishRun(const std::string &id, std::size_t index, const ServerRun &run) {
  const std::lock_guard hold(Lock);
  Runs[id].at(index) = run;
}

void Observations::addCommit(const std::string &id, std::uint64_t position) {
  const std::lock_guard hold(Lock);
  Commits[id].push_back(position);
}

void Observations::addArrival(Arrival arrival) {
  const std::lock_guard hold(Lock);
  arrival.At = nowMs();
  Arrivals.push_back(std::move(arrival));
}

void Observations::addDisruption(Disruption disruption) {
  const std::lock_guard hold(Lock);
  Disruptions.push_back(std::move(disruption));
}

void Observations::addPromotion(Promotion promotion) {
  const std::lock_guard hold(Lock);
  Promotions.push_back(std::move(promotion));
}

std::vector<Request> Observations::requests() const {
  const std::lock_guard hold(Lock);
  return Requests;
}

std::map<std::string, std::vector<ServerRun>> Observations::runs() const {
  const std::lock_guard hold(Lock);
  return Runs;
}

std::map<std::string, std::vector<std::uint64_t>> Observations::commits() const {
  const std::lock_guard hold(Lock);
  return Commits;
}

std::uint64_t Observations::commitPosition(const std::string &id) const {
  const std::lock_guard hold(Lock);
  const auto it = Commits.find(id);
  return it == Commits.end() ? 0 : it->second.back();
}

std::vector<Arrival> Observations::arrivals() const {
  const std::lock_guard hold(Lock);
  return Arrivals;
}

std::vector<Disruption> Observations::disruptions() const {
  const std::lock_guard hold(Lock);
  return Disruptions;
}

std::vector<Promotion> Observations::promotions() const {
  const std::lock_guard hold(Lock);
  return Promotions;
}

} // namespace rosemaryhinge::platformsoak

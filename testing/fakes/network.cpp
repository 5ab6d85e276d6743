// Delivery of messages over links with latency and cuts.

#include "fakes/network.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

Endpoint FakeNetwork::add(std::string name, Place place) {
  Machines.push_back({std::move(name), std::move(place), TimePoint{}});
  return static_cast<Endpoint>(Machines.size() - 1);
}

std::uint32_t FakeNetwork::cut(const std::vector<Endpoint> &a, const std::vector<Endpoint> &b, bool oneWay) {
  Cut cut{NextCut++, std::vector<bool>(Machines.size()), std::vector<bool>(Machines.size()), oneWay};
  for (auto it : a)
    cut.A[it] = true;
  for (auto it : b)
    cut.B[it] = true;
  touch(cut);
  Cuts.push_back(std::move(cut));
  return Cuts.back().Id;
}

void FakeNetwork::touch(const Cut &cut) {
  for (std::size_t n = 0; n < cut.A.size(); ++n)
    if (cut.A[n] || cut.B[n])
      Machines[n].LastCut = Queue.now();
}

void FakeNetwork::heal(std::uint32_t id) {
  auto it = std::find_if(Cuts.begin(), Cuts.end(), [&](const auto &cut) { return cut.Id == id; });
  if (it == Cuts.end())
    return;
  touch(*it);
  Cuts.erase(it);
}

void FakeNetwork::healAll() {
  for (const auto &it : Cuts)
    touch(it);
  Cuts.clear();
}

bool FakeNetwork::reaches(Endpoint from, Endpoint to) const {
  return std::none_of(Cuts.begin(), Cuts.end(), [&](const auto &cut) {
    auto in = [](const std::vector<bool> &side, Endpoint it) { return it < side.size() && side[it]; };
    return (in(cut.A, from) && in(cut.B, to)) || (!cut.OneWay && in(cut.B, from) && in(cut.A, to));
  });
}

TimePoint FakeNetwork::lastCutAt(Endpoint it) const {
  bool now = std::any_of(Cuts.begin(), Cuts.end(),
                         [&](const auto &cut) { return it < cut.A.size() && (cut.A[it] || cut.B[it]); });
  return now ? Queue.now() : Machines[it].LastCut;
}

Duration FakeNetwork::latency(Endpoint from, Endpoint to) const {
  return Plan.latency(Machines[from].Where, Machines[to].Where);
}

void FakeNetwork::send(Endpoint from, Endpoint to, EventQueue::Action deliver, bool ordered,
                       EventQueue::Action lost) {
  ++Sent;
  if (!reaches(from, to) || (!ordered && Loss > 0 && Random.chance(Loss))) {
    ++Lost;
    if (lost)
      lost();
    return;
  }
  auto base = latency(from, to);
  auto time = Queue.now() + base + Random.between(0us, base / 5) + Random.between(0us, ExtraDelay);
  if (ordered) {
    auto &last = LastDelivery[(static_cast<std::uint64_t>(from) << 32U) | to];
    time = std::max(time, last + 1us);
    last = time;
  }
  Queue.at(time, [this, from, to, deliver = std::move(deliver), lost = std::move(lost)] {
    if (reaches(from, to)) {
      deliver();
      return;
    }
    ++Lost;
    if (lost)
      lost();
  });
}

} // namespace rosemaryhinge::fakes

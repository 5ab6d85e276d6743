// Replication: the primary streams its log to the other servers and sends a heartbeat when idle.

#include "fakes/group.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

namespace {
constexpr Duration HeartbeatInterval = 100ms;
} // namespace

FakeServer &FakeGroup::add(std::unique_ptr<FakeServer> server) {
  auto index = Servers.size();
  server->OnAppend = [this, index] { ship(index); };
  Servers.push_back(std::move(server));
  Lag.emplace_back();
  LastArrival.emplace_back();
  return *Servers.back();
}

void FakeGroup::start() {
  if (auto *first = find(Description.Primary))
    first->becomeInitialPrimary(Description.Term);
  heartbeat();
}

FakeServer *FakeGroup::primary() const {
  FakeServer *out = nullptr;
  for (const auto &it : Servers)
    if (it->isPrimary() && (out == nullptr || it->primaryTerm() > out->primaryTerm()))
      out = it.get();
  return out;
}

FakeServer *FakeGroup::find(const TargetId &name) const {
  auto it = std::find_if(Servers.begin(), Servers.end(), [&](const auto &s) { return s->name() == name; });
  return it == Servers.end() ? nullptr : it->get();
}

void FakeGroup::heartbeat() {
  for (std::size_t n = 0; n < Servers.size(); ++n)
    ship(n);
  Queue.after(HeartbeatInterval, [this] { heartbeat(); });
}

void FakeGroup::ship(std::size_t from) {
  if (!Servers[from]->isPrimary() || Servers[from]->down())
    return;
  for (std::size_t to = 0; to < Servers.size(); ++to)
    if (to != from)
      shipTo(from, to);
}

void FakeGroup::shipTo(std::size_t from, std::size_t to) {
  auto &source = *Servers[from];
  auto &sink = *Servers[to];
  if (!Net.reaches(source.place(), sink.place()))
    return;
  const auto &log = source.log();
  // The real streams negotiate where to resume; here the sender looks at the receiver's log.
  auto first = std::min(log.size(), sink.log().size());
  while (first > 0 && log[first - 1].get() != sink.log()[first - 1].get())
    --first;
  auto previous = first > 0 ? log[first - 1] : nullptr;
  std::vector<EntryPtr> entries(log.begin() + static_cast<std::ptrdiff_t>(first), log.end());
  auto arrival =
      std::max(Queue.now() + Net.latency(source.place(), sink.place()) + Lag[to], LastArrival[to] + 1us);
  LastArrival[to] = arrival;
  auto deliver = [this, to, from, term = source.primaryTerm(), first, previous = std::move(previous),
                  entries = std::move(entries)] {
    if (Net.reaches(Servers[from]->place(), Servers[to]->place()) && !Servers[from]->down())
      Servers[to]->replicate(term, first, previous, entries);
  };
  Queue.at(arrival, std::move(deliver));
}

} // namespace rosemaryhinge::fakes

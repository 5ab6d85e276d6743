// Simulated links of VMs.

#include "directoryworld/network.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge::directoryworld {

namespace {

constexpr double BytesPerMegabit = 1e6 / 8;

} // namespace

VmIndex Network::add(double megabitsPerSecond) {
  Vms.emplace_back().BytesPerSecond = megabitsPerSecond * BytesPerMegabit;
  return Vms.size() - 1;
}

Duration Network::transferTime(const Vm &vm, std::size_t bytes) {
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / vm.BytesPerSecond));
}

void Network::send(VmIndex from, VmIndex to, std::size_t bytes, Delivery delivery) {
  auto &vm = Vms[from];
  auto &transfer = vm.Transfers[to];
  if (transfer.empty())
    vm.Turns.push_back(to);
  transfer.push_back({bytes, std::move(delivery)});
  if (!vm.Sending)
    sendSegment(from);
}

void Network::sendSegment(VmIndex from) {
  auto &vm = Vms[from];
  vm.Sending = !vm.Turns.empty();
  if (!vm.Sending)
    return;
  const auto to = vm.Turns.front();
  vm.Turns.pop_front();
  auto &transfer = vm.Transfers[to];
  auto &message = transfer.front();
  const auto bytes = std::min(message.BytesLeft, SegmentBytes);
  message.BytesLeft -= bytes;
  Delivery complete;
  if (message.BytesLeft == 0) {
    complete = std::move(message.Arrive);
    transfer.pop_front();
  }
  if (transfer.empty())
    vm.Transfers.erase(to);
  else
    vm.Turns.push_back(to);
  Queue.after(transferTime(vm, bytes), [this, from, to, complete = std::move(complete)] {
    if (complete)
      deliver(from, to, complete);
    sendSegment(from);
  });
}

void Network::deliver(VmIndex from, VmIndex to, Delivery delivery) {
  if (Vms[from].Cut || Vms[to].Cut)
    Held.push_back({from, to, std::move(delivery)});
  else
    Queue.after(Delay, std::move(delivery));
}

void Network::receive(VmIndex to, std::size_t bytes, Delivery delivery) {
  auto &vm = Vms[to];
  vm.ReceivingUntil = std::max(vm.ReceivingUntil, Queue.now()) + transferTime(vm, bytes);
  Queue.at(vm.ReceivingUntil, std::move(delivery));
}

void Network::cut(VmIndex vm, bool on) {
  Vms[vm].Cut = on;
  if (on)
    return;
  Queue.after(RetransmissionDelay, [this] {
    for (auto &it : std::exchange(Held, {}))
      deliver(it.From, it.To, std::move(it.Arrive));
  });
}

void Network::clear(VmIndex vm) {
  Vms[vm].Transfers.clear();
  Vms[vm].Turns.clear();
}

} // namespace rosemaryhinge::directoryworld

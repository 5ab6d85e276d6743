// Right to write on a server.

#include "standin/writerlock.h"

#include <utility>

namespace rosemaryhinge::standin {

bool WriterLock::acquire(std::uint64_t owner, std::function<void()> granted) {
  if (Holder == 0 || Holder == owner) {
    Holder = owner;
    return true;
  }
  Queue.push_back({owner, std::move(granted)});
  return false;
}

void WriterLock::release(std::uint64_t owner) {
  std::erase_if(Queue, [&](const auto &it) { return it.Owner == owner; });
  if (owner == 0 || Holder != owner)
    return;
  Holder = 0;
  if (Queue.empty())
    return;
  auto next = std::move(Queue.front());
  Queue.pop_front();
  Holder = next.Owner;
  next.Granted();
}

} // namespace rosemaryhinge::standin

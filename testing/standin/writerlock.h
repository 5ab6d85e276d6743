// Right to write on a server: one holder at a time, granted in order of asking.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>

namespace rosemaryhinge::standin {

class WriterLock {
public:
  /// Returns true if the lock is free and now held. Otherwise calls back once it is.
  bool acquire(std::uint64_t owner, std::function<void()> granted);
  /// Gives the lock up, or the place in the queue.
  void release(std::uint64_t owner);
  /// Takes the lock from its holder and passes it on.
  void revoke() { release(Holder); }
  [[nodiscard]] bool heldBy(std::uint64_t owner) const { return Holder == owner; }

private:
  struct Waiter {
    std::uint64_t Owner = 0;
    std::function<void()> Granted;
  };

  std::uint64_t Holder = 0; ///< 0: free.
  std::deque<Waiter> Queue;
};

} // namespace rosemaryhinge::standin

// Checker of slot_limit.

#pragma once

#include "soak/checker.h"

namespace rosemaryhinge::soak {

/// A slot never has more connections than its limit, whoever holds it.
class SlotLimit : public Checker {
public:
  explicit SlotLimit(fakes::Fleet &fleet) : Checker(fleet, "slot_limit") {}

  void onConnections(const fakes::FakeServer &server, std::uint32_t slot, std::size_t count,
                     std::size_t limit) override {
    if (count > limit)
      fail(server.name().str() + " has " + std::to_string(count) + " connections in slot " +
           std::to_string(slot) + ", limit " + std::to_string(limit));
  }
};

} // namespace rosemaryhinge::soak

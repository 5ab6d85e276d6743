// Checker of transaction_isolation.

#pragma once

#include "soak/checker.h"

namespace rosemaryhinge::soak {

/// No server meets a statement of one operation inside the transaction of another.
class TransactionIsolation : public Checker {
public:
  explicit TransactionIsolation(fakes::Fleet &fleet) : Checker(fleet, "transaction_isolation") {}

  void onMixedTransaction(const fakes::FakeServer &server, const std::string &open,
                          const std::string &other) override {
    fail("at " + server.name().str() + ": " + other + " on the connection of transaction '" + open + "'");
  }
};

} // namespace rosemaryhinge::soak

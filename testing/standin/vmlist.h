// The platform's list of VMs. What it shows lags behind what is true.

#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace rosemaryhinge::standin {

class VmList {
public:
  using Clock = std::chrono::steady_clock;

  void set(const std::string &vm, bool leaving, Clock::time_point now);
  void remove(const std::string &vm, Clock::time_point now);
  /// JSON of the list as it was one lag ago.
  [[nodiscard]] std::string json(Clock::time_point now);

  std::chrono::milliseconds Lag{1000};

private:
  struct Change {
    Clock::time_point At;
    std::string Vm;
    bool Present = true;
    bool Leaving = false;
  };

  std::deque<Change> Pending;
  std::map<std::string, bool> Shown;
};

} // namespace rosemaryhinge::standin

// The platform's list of VMs.

#include "standin/vmlist.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::standin {

void VmList::set(const std::string &vm, bool leaving, Clock::time_point now) {
  Pending.push_back({now, vm, true, leaving});
}

void VmList::remove(const std::string &vm, Clock::time_point now) {
  Pending.push_back({now, vm, false, false});
}

std::string VmList::json(Clock::time_point now) {
  while (!Pending.empty() && Pending.front().At + Lag <= now) {
    if (const auto &it = Pending.front(); it.Present)
      Shown[it.Vm] = it.Leaving;
    else
      Shown.erase(it.Vm);
    Pending.pop_front();
  }
  auto out = nlohmann::json::array();
  for (const auto &[vm, leaving] : Shown)
    out.push_back({{"vm", vm}, {"leaving", leaving}});
  return out.dump();
}

} // namespace rosemaryhinge::standin

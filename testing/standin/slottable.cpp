// Connections per slot of a server.

#include "standin/slottable.h"

#include "standin/httpmessage.h"

#include <algorithm>

namespace rosemaryhinge::standin {

std::optional<SlotName> parseSlotName(std::string_view applicationName) {
  constexpr std::string_view SlotKey = "rh/slot=";
  constexpr std::string_view GenerationKey = "/gen=";
  constexpr std::string_view NodeKey = "/node=";
  auto generation = applicationName.find(GenerationKey);
  auto node = applicationName.find(NodeKey);
  if (!applicationName.starts_with(SlotKey) || generation == std::string_view::npos ||
      node == std::string_view::npos || node < generation)
    return std::nullopt;
  auto slotText = applicationName.substr(SlotKey.size(), generation - SlotKey.size());
  generation += GenerationKey.size();
  auto slot = parseNumber(slotText);
  auto number = parseNumber(applicationName.substr(generation, node - generation));
  if (!slot || *slot > UINT32_MAX || !number)
    return std::nullopt;
  return SlotName{static_cast<std::uint32_t>(*slot), *number,
                  std::string(applicationName.substr(node + NodeKey.size()))};
}

SlotTable::Admission SlotTable::open(const SlotName &name) {
  if (Slots.size() >= MaxSlots && !Slots.contains(name.Slot)) {
    ++RefusedUnknown;
    return Admission::Full;
  }
  auto &slot = Slots[name.Slot];
  if (name.Generation < slot.Claimed) {
    ++slot.RefusedOld;
    return Admission::OldGeneration;
  }
  if (slot.Open >= Limit) {
    ++slot.RefusedFull;
    return Admission::Full;
  }
  slot.Holder = name.Node;
  slot.Highest = std::max(slot.Highest, ++slot.Open);
  return Admission::Admitted;
}

void SlotTable::close(const SlotName &name) {
  if (auto &slot = Slots[name.Slot]; slot.Open > 0)
    --slot.Open;
}

bool SlotTable::claim(std::uint32_t slot, std::uint64_t generation) {
  if (Slots.size() >= MaxSlots && !Slots.contains(slot)) {
    ++RefusedUnknown;
    return false;
  }
  auto &state = Slots[slot];
  if (generation < state.Claimed)
    return false;
  state.Claimed = generation;
  return true;
}

bool SlotTable::breached() const {
  return std::any_of(Slots.begin(), Slots.end(), [&](const auto &it) { return it.second.Highest > Limit; });
}

} // namespace rosemaryhinge::standin

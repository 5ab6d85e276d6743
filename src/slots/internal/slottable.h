// Contents of the platform object slots/<database>: who holds which slot of which server.

#pragma once

#include "base/id.h"
#include "protocol/platform.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::detail {

struct SlotRecord {
  NodeId Holder; ///< Empty if the slot is free.
  std::uint64_t Incarnation = 0;
  std::uint64_t Generation = 0; ///< Grows with each holder and is never reused.

  bool operator==(const SlotRecord &) const = default;
};

struct SlotTable {
  std::map<TargetId, std::vector<SlotRecord>> Targets;
  std::string ChangeId; ///< Recognises an update whose answer was lost.
  ObjectVersion Version = 0;
};

[[nodiscard]] std::string formatSlotTable(const SlotTable &table);
/// Empty if the text is not a valid table.
[[nodiscard]] std::optional<SlotTable> parseSlotTable(std::string_view text);

} // namespace rosemaryhinge::detail

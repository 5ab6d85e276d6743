// Connections per slot of a server, with the generations that were claimed.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::standin {

/// From the application name `rh/slot=<n>/gen=<g>/node=<node>`.
struct SlotName {
  std::uint32_t Slot = 0;
  std::uint64_t Generation = 0;
  std::string Node;
};

[[nodiscard]] std::optional<SlotName> parseSlotName(std::string_view applicationName);

struct SlotState {
  std::uint64_t Claimed = 0; ///< Highest generation claimed; lower ones are refused.
  std::string Holder;        ///< Node of the last connection.
  std::uint32_t Open = 0;
  std::uint32_t Highest = 0; ///< Most connections ever open at once.
  std::uint64_t RefusedFull = 0;
  std::uint64_t RefusedOld = 0;
};

class SlotTable {
public:
  enum class Admission : std::uint8_t { Admitted, Full, OldGeneration };

  /// Slots that a server has. Their numbers are chosen by the proxies.
  static constexpr std::size_t MaxSlots = 3;

  explicit SlotTable(std::uint32_t limit) : Limit(limit) {}

  /// Counts a connection that starts up, unless it is refused.
  Admission open(const SlotName &name);
  void close(const SlotName &name);
  /// False if a higher generation was claimed.
  bool claim(std::uint32_t slot, std::uint64_t generation);

  [[nodiscard]] const std::map<std::uint32_t, SlotState> &all() const { return Slots; }
  [[nodiscard]] std::uint32_t limit() const { return Limit; }
  /// True if a slot ever had more connections than the limit.
  [[nodiscard]] bool breached() const;

  std::uint64_t RefusedUnknown = 0; ///< Connections and claims of a slot beyond the last one.

private:
  std::uint32_t Limit;
  std::map<std::uint32_t, SlotState> Slots;
};

} // namespace rosemaryhinge::standin

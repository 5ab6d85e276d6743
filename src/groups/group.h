// A database group: its servers, its current term and the state of a promotion.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "protocol/platform.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge {

struct GroupServer {
  TargetId Target;
  std::string Address; ///< IP and port.
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  rosemaryhinge::Region Region;
  std::uint32_t Slots = 3;
};

/// Contents of the platform object groups/<database>.
struct Group {
  enum class Phase : std::uint8_t { Done, Ordered };

  DatabaseId Database;
  std::vector<GroupServer> Servers;
  rosemaryhinge::Term Term = 0; ///< Never decreases.
  Phase State = Phase::Done;
  /// Primary of Term if the phase is Done; primary of the last completed term if it is Ordered.
  TargetId Primary;
  NodeId Orderer; ///< Proxy that ordered Term.
  /// Identifies an update, so that its writer recognises it in the store if the response was lost.
  std::string ChangeId;
  std::vector<TermStart> History; ///< Completed terms, oldest first.
  ObjectVersion Version = 0;      ///< Version of the platform object; not part of its JSON.

  [[nodiscard]] std::size_t majority() const { return Servers.size() / 2 + 1; }
  [[nodiscard]] const GroupServer *find(const TargetId &target) const;
};

/// Returns the JSON text of the platform object.
[[nodiscard]] std::string formatGroup(const Group &group);
/// Returns nothing if the text is not a valid group.
[[nodiscard]] std::optional<Group> parseGroup(std::string_view text);

} // namespace rosemaryhinge

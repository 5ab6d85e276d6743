// A database group: its servers, its current term and the state of a change of primary.

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
  rosemaryhinge::Term Term = 0; ///< Never goes back.
  Phase State = Phase::Done;
  TargetId Primary;               ///< Of Term if Done; of the last completed term if Ordered.
  NodeId Orderer;                 ///< Proxy that ordered Term.
  std::string ChangeId;           ///< Recognises an update whose answer was lost.
  std::vector<TermStart> History; ///< Completed terms, oldest first.
  ObjectVersion Version = 0;      ///< Of the platform object; not part of its text.

  [[nodiscard]] std::size_t majority() const { return Servers.size() / 2 + 1; }
  [[nodiscard]] const GroupServer *find(const TargetId &target) const;
};

/// Text of the platform object: JSON.
[[nodiscard]] std::string formatGroup(const Group &group);
/// Empty if the text is not a valid group.
[[nodiscard]] std::optional<Group> parseGroup(std::string_view text);

} // namespace rosemaryhinge

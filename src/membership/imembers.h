// Members of the fleet as other modules see them.

#pragma once

#include "base/id.h"

#include <cstdint>
#include <vector>

namespace rosemaryhinge {

struct Member {
  NodeId Node;
  std::uint64_t Incarnation = 0;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  rosemaryhinge::Region Region;
  bool Leaving = false;
};

class IMembers {
public:
  virtual ~IMembers() = default;

  /// Live members, this proxy included, ordered by name. Suspected members count as live.
  [[nodiscard]] virtual std::vector<Member> live() const = 0;
  [[nodiscard]] virtual bool isLive(const NodeId &node) const = 0;
  /// True once a member was declared dead, or is not known after this proxy has joined.
  [[nodiscard]] virtual bool isDead(const NodeId &node) const = 0;
  [[nodiscard]] virtual bool isLeaving(const NodeId &node) const = 0;
};

} // namespace rosemaryhinge

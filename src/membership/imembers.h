// Members of the fleet as other modules see them.

#pragma once

#include "base/id.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace rosemaryhinge {

struct Member {
  NodeId Node;
  std::uint64_t Incarnation = 0;
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  rosemaryhinge::Region Region;
  bool Leaving = false;

  bool operator==(const Member &) const = default;
};

class IMembers {
public:
  virtual ~IMembers() = default;

  /// Live members, this proxy included, ordered by name. Suspected members count as live. Valid until the
  /// next event.
  [[nodiscard]] virtual const std::vector<Member> &live() const = 0;
  /// Grows whenever live() changes, so that what is derived from it can be kept.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  [[nodiscard]] virtual bool isLive(const NodeId &node) const = 0;
  /// True once a member was declared dead, or is not known after this proxy has joined.
  [[nodiscard]] virtual bool isDead(const NodeId &node) const = 0;
  [[nodiscard]] virtual bool isLeaving(const NodeId &node) const = 0;

  /// The live member of that name, or null.
  [[nodiscard]] const Member *find(const NodeId &node) const {
    const auto &members = live();
    auto it = std::lower_bound(members.begin(), members.end(), node,
                               [](const Member &member, const NodeId &name) { return member.Node < name; });
    return it == members.end() || it->Node != node ? nullptr : &*it;
  }
};

} // namespace rosemaryhinge

// Computes what a change of settings makes of the object in the store.

#pragma once

#include "settings/internal/settingsstate.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::detail {

/// Why a change cannot be made: status and body of the answer.
struct ChangeRefused {
  int HttpStatus = 0;
  nlohmann::json Body;
};
/// The store holds the change already.
struct ChangeKnown {
  std::uint64_t Revision = 0;
};
/// The change is only shown.
struct ChangeShown {
  nlohmann::json Body;
};
/// The new object is in the session's Next; this is its text.
struct ChangeReady {
  std::string Text;
};

using ChangeResult = std::variant<ChangeRefused, ChangeKnown, ChangeShown, ChangeReady>;

/// Works on what the store holds now. In force is the tree that counts when the store holds a lower revision.
[[nodiscard]] ChangeResult computeChange(AdminSession &session, const ObjectValue &value,
                                         const RevisionInForce &inForce);

} // namespace rosemaryhinge::detail

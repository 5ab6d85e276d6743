// Contents of the platform object settings/tree: the tree and the history of its changes.

#pragma once

#include "settings/edit.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge {

inline constexpr std::string_view SettingsKey = "settings/tree";
/// The platform holds values up to 1 MB; the rest is room for its own envelope.
inline constexpr std::size_t MaxSettingsObject = 1'000'000;

struct SettingsHistoryEntry {
  std::uint64_t Revision = 0;
  std::string ChangeId;
  std::string Author;
  std::string Time; ///< Wall time as the operator's tool gave it.
  std::string Why;
  SettingsDifference Change;
};

struct SettingsObject {
  std::uint64_t Revision = 0;
  std::string ChangeId;
  std::string Author;
  std::string Time;
  std::string Tree;                         ///< YAML.
  std::deque<SettingsHistoryEntry> History; ///< Oldest first.
  std::uint64_t HistoryDropped = 0;         ///< Entries that gave way to newer ones.
  bool Plain = false;                       ///< The object was a plain tree, taken as revision 1.

  /// Revision of the change with this id, if the object holds or remembers it.
  [[nodiscard]] std::optional<std::uint64_t> revisionOf(std::string_view changeId) const;
};

/// Reads JSON or YAML with the fields of the object, or a plain YAML tree. Empty if it is neither.
[[nodiscard]] std::optional<SettingsObject> parseSettingsObject(std::string_view text);
/// JSON below MaxSettingsObject: drops the oldest history and counts it. Empty if the tree alone is too
/// large.
[[nodiscard]] std::optional<std::string> formatSettingsObject(SettingsObject &object,
                                                              std::size_t historyLimit);

} // namespace rosemaryhinge

// YAML document with the place of every node, built from parser events so that duplicates and aliases show.

#pragma once

#include "base/finding.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::detail {

struct YamlNode {
  enum class Type : std::uint8_t { Null, Scalar, Sequence, Map };

  Type Kind = Type::Null;
  int Line = 0;
  int Column = 0;
  std::string Text;
  std::vector<YamlNode> Items;
  std::vector<YamlNode> Keys; ///< Of a map; its values are in Items, in the same order.
};

/// Reads one document. Faults of the syntax, duplicate keys and aliases are added to the findings.
[[nodiscard]] YamlNode parseYaml(std::string_view file, std::string_view text, Diagnostics &findings);

} // namespace rosemaryhinge::detail

// Strongly typed identifiers based on strings and numbers.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace rosemaryhinge {

/// String identifier. Identifiers with different tags do not convert into each other.
template <typename Tag> class TextId {
public:
  TextId() = default;
  explicit TextId(std::string value) : Value(std::move(value)) {}
  explicit TextId(std::string_view value) : Value(value) {}
  explicit TextId(const char *value) : Value(value) {}

  [[nodiscard]] const std::string &str() const { return Value; }
  [[nodiscard]] bool empty() const { return Value.empty(); }
  auto operator<=>(const TextId &) const = default;

private:
  std::string Value;
};

/// Numeric identifier. Zero means "none".
template <typename Tag> struct NumberId {
  std::uint64_t Value = 0;

  [[nodiscard]] bool empty() const { return Value == 0; }
  auto operator<=>(const NumberId &) const = default;
};

using NodeId = TextId<struct NodeTag>;
using DatabaseId = TextId<struct DatabaseTag>;
using TargetId = TextId<struct TargetTag>;
using ClassName = TextId<struct ClassTag>;
using CallerId = TextId<struct CallerTag>;
using AvailabilityZone = TextId<struct AvailabilityZoneTag>;
using Region = TextId<struct RegionTag>;

/// Identifies a caller's request within the proxy that received it.
using RequestId = NumberId<struct RequestTag>;
/// Identifies a connection to a target within one proxy.
using ConnectionId = NumberId<struct ConnectionTag>;
/// Identifies an execution on a connection; used to match answers to executions.
using ExecutionId = NumberId<struct ExecutionTag>;
/// Identifies an interactive transaction. Contains the node name of its proxy and is therefore unique across
/// proxies.
using TransactionId = TextId<struct TransactionTag>;

} // namespace rosemaryhinge

template <typename Tag> struct std::hash<rosemaryhinge::TextId<Tag>> {
  std::size_t operator()(const rosemaryhinge::TextId<Tag> &id) const {
    return std::hash<std::string>{}(id.str());
  }
};

template <typename Tag> struct std::hash<rosemaryhinge::NumberId<Tag>> {
  std::size_t operator()(const rosemaryhinge::NumberId<Tag> &id) const {
    return std::hash<std::uint64_t>{}(id.Value);
  }
};

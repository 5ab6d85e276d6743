// Reads verified FlatBuffers frames without allocating more than their size.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <peer_generated.h>
#include <string>
#include <vector>

namespace rosemaryhinge::detail {

/// Least size in the frame of an element of a vector of strings or tables.
inline constexpr std::size_t ElementBytes = 4;

/// Reads a verified frame. Verification allows several references to one string or table, so a small frame
/// could decode to gigabytes; the budget ends that: what is read may not exceed the size of the frame.
class FrameReader {
public:
  explicit FrameReader(std::size_t frameSize) : Budget(frameSize) {}

  [[nodiscard]] bool ok() const { return Ok; }

  std::string text(const flatbuffers::String *value) {
    if (!value || !spend(value->size()))
      return {};
    return value->str();
  }
  template <typename Id> Id id(const flatbuffers::String *value) { return Id(text(value)); }

  /// Applies `read` to each element of a vector of strings or tables.
  template <typename T, typename V, typename F> std::vector<T> list(const V *values, F read) {
    std::vector<T> out;
    if (!values || !spend(values->size() * ElementBytes))
      return out;
    out.reserve(values->size());
    for (const auto *it : *values) {
      if (!Ok)
        break;
      out.push_back(read(it));
    }
    return out;
  }

  template <typename E> E value(std::uint8_t raw, E last) {
    if (raw > static_cast<std::uint8_t>(last)) {
      refuse();
      return E{};
    }
    return static_cast<E>(raw);
  }

  std::vector<std::string> texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *it) {
    return list<std::string>(it, [this](const auto *one) { return text(one); });
  }
  std::vector<NodeId> nodes(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *it) {
    return list<NodeId>(it, [this](const auto *one) { return id<NodeId>(one); });
  }

  static std::optional<Position> position(const wire::Position *it) {
    return it ? std::optional(Position{it->term(), it->lsn()}) : std::nullopt;
  }
  static std::optional<Duration> micros(flatbuffers::Optional<std::int64_t> it) {
    return it ? std::optional(Duration(*it)) : std::nullopt;
  }

  bool spend(std::size_t bytes) {
    if (bytes > Budget)
      Ok = false;
    else
      Budget -= bytes;
    return Ok;
  }
  bool need(const void *part) {
    Ok = Ok && part != nullptr;
    return Ok;
  }
  /// The frame holds what it must not.
  void refuse() { Ok = false; }

private:
  std::size_t Budget;
  bool Ok = true;
};

} // namespace rosemaryhinge::detail

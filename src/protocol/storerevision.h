// Revisions of the platform's store, in an order that holds across restorations of the store.
//
// The store numbers its changes. When it comes back from an older copy, it begins a new era: it has forgotten
// the changes since the copy was taken, and gives their numbers out again. A number alone therefore does not
// tell which of two states is the later one. Here the era and the number make one value that only grows, so
// it can be compared, told to other proxies and used as a fencing token.

#pragma once

#include <cstdint>

namespace rosemaryhinge {

/// Bits of a revision that hold the store's own number.
inline constexpr unsigned StoreNumberBits = 40;
inline constexpr std::uint64_t MaxStoreNumber = (std::uint64_t{1} << StoreNumberBits) - 1;
/// A revision then has 53 bits at most, and is exact also for readers that hold numbers as floating point.
inline constexpr std::uint64_t MaxStoreEra = (std::uint64_t{1} << 13U) - 1;

/// The revision for the store's own number of a change in an era. 0 stays 0: no revision.
[[nodiscard]] constexpr std::uint64_t storeRevision(std::uint64_t era, std::uint64_t number) {
  return number == 0 ? 0 : (era << StoreNumberBits) + number;
}
/// The number by which the store itself knows a revision.
[[nodiscard]] constexpr std::uint64_t storeNumber(std::uint64_t revision) {
  return revision & MaxStoreNumber;
}
/// The era of a revision; 0 where the store names none.
[[nodiscard]] constexpr std::uint64_t storeEra(std::uint64_t revision) { return revision >> StoreNumberBits; }

} // namespace rosemaryhinge

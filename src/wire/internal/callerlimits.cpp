// Limits on what callers' connections may hold.

#include "wire/callerlimits.h"

#include <algorithm>
#include <utility>

namespace rosemaryhinge {

namespace {

constexpr std::uint32_t DefaultMemoryMb = 256;
constexpr std::uint32_t DefaultDescriptors = 4'096;
/// Share of the memory for received statements, and as much again for unread answers.
constexpr std::size_t MemoryDivisor = 8;
/// For links, peers, the admin address and files.
constexpr std::size_t OtherDescriptors = 500;
/// Share of the descriptors for callers if there are hardly more than the other ones need.
constexpr std::size_t DescriptorDivisor = 8;

} // namespace

CallerLimits callerLimits(std::optional<std::uint32_t> memoryMb,
                          std::optional<std::uint32_t> maxDescriptors) {
  CallerLimits out;
  const std::size_t memory = std::size_t{memoryMb.value_or(DefaultMemoryMb)} << 20;
  out.ReceivedBytes = memory / MemoryDivisor;
  out.UnreadBytes = memory / MemoryDivisor;
  const std::size_t descriptors = maxDescriptors.value_or(DefaultDescriptors);
  const auto left = descriptors - std::min(descriptors, OtherDescriptors);
  out.MaxSessions = std::min(out.MaxSessions, std::max(left, descriptors / DescriptorDivisor));
  return out;
}

void ReceivedStatements::passedOn(std::size_t bytes) {
  Sizes.push_back(bytes);
  Bytes += bytes;
}

void ReceivedStatements::answered() {
  if (Sizes.empty())
    return;
  Bytes -= Sizes.front();
  Sizes.pop_front();
}

bool ReceivedStatements::belowLimits() const { return Bytes <= MaxBytes && Sizes.size() < MaxStatements; }

bool MemoryRelease::due(std::size_t inUse) {
  Peak = std::max(Peak, inUse);
  const bool fell = Peak >= MinPeakBytes && inUse <= Peak / 2;
  if (!fell || !std::exchange(Fell, fell))
    return false;
  Fell = false;
  Peak = inUse;
  return true;
}

} // namespace rosemaryhinge

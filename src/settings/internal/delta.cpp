// Deltas by common front and back.

#include "settings/internal/delta.h"

#include <algorithm>
#include <xxhash.h>

namespace rosemaryhinge::detail {

std::uint64_t textChecksum(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

SettingsPush wholePush(std::uint64_t revision, std::string_view text, ObjectVersion version) {
  SettingsPush out;
  out.Revision = revision;
  out.Tree = std::string(text);
  out.Checksum = textChecksum(text);
  out.Version = version;
  return out;
}

void makeDelta(SettingsPush &push, std::uint64_t baseRevision, std::string_view base) {
  if (baseRevision == 0)
    return;
  const auto &text = push.Tree;
  auto shorter = std::min(base.size(), text.size());
  std::size_t front = 0;
  while (front < shorter && base[front] == text[front])
    ++front;
  std::size_t back = 0;
  while (back < shorter - front && base[base.size() - 1 - back] == text[text.size() - 1 - back])
    ++back;
  push.Base = baseRevision;
  push.PrefixLength = static_cast<std::uint32_t>(front);
  push.SuffixLength = static_cast<std::uint32_t>(back);
  push.Tree = text.substr(front, text.size() - front - back);
}

std::optional<std::string> wholeText(const SettingsPush &push, std::uint64_t baseRevision,
                                     std::string_view base) {
  std::string out;
  if (push.Base == 0) {
    out = push.Tree;
  } else {
    if (push.Base != baseRevision || std::size_t{push.PrefixLength} + push.SuffixLength > base.size())
      return std::nullopt;
    out = std::string(base.substr(0, push.PrefixLength)) + push.Tree +
          std::string(base.substr(base.size() - push.SuffixLength));
  }
  return textChecksum(out) == push.Checksum ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace rosemaryhinge::detail

// Sizes of peer messages.

#include "spread/wiresize.h"

#include "base/overloaded.h"

namespace rosemaryhinge::spread {

namespace {

/// Length prefix, envelope table with its vtable, TCP/IP headers of the segment and of its acknowledgement.
constexpr std::size_t PerMessage = 4 + 48 + 2 * 40;
/// Offset, length, terminator and padding of a text; offset and vtable of a table in a vector.
constexpr std::size_t PerText = 12;
constexpr std::size_t PerTable = 12;
constexpr std::size_t PerNumber = 8;

std::size_t size(const std::string &text) { return PerText + text.size(); }
std::size_t size(const NodeId &node) { return size(node.str()); }
std::size_t size(const MemberUpdate &it) {
  return PerTable + 2 * PerNumber + 4 + size(it.Node) + size(it.Address) + size(it.AvailabilityZone.str()) +
         size(it.Region.str()) + size(it.Release);
}
std::size_t size(const SettingsInForce &it) { return PerTable + 3 * PerNumber + size(it.Node); }
std::size_t size(const JournalMark &it) { return PerTable + 3 * PerNumber + size(it.Node); }

template <typename T> std::size_t sizeAll(const std::vector<T> &list) {
  std::size_t out = 4;
  for (const auto &it : list)
    out += size(it);
  return out;
}

} // namespace

std::size_t wireSize(const PeerMessage &message) {
  auto body = std::visit(
      Overloaded{
          [](const Probe &it) { return 2 * PerNumber + sizeAll(it.Updates); },
          [](const ProbeAck &it) { return 2 * PerNumber + sizeAll(it.Updates); },
          [](const IndirectProbe &it) { return PerNumber + size(it.Subject); },
          [](const MembersReply &it) { return sizeAll(it.Members); },
          [](const SettingsPush &it) { return 6 * PerNumber + size(it.Tree) + sizeAll(it.Descendants); },
          [](const SettingsAck &it) { return 3 * PerNumber + sizeAll(it.Missing); },
          [](const SettingsRequest &) { return PerNumber; },
          [](const SettingsQuery &it) { return PerNumber + sizeAll(it.Descendants); },
          [](const SettingsReport &it) { return PerNumber + sizeAll(it.Members) + sizeAll(it.Missing); },
          [](const JournalRecords &it) { return PerNumber + sizeAll(it.Records); },
          [](const JournalAck &) { return PerNumber; },
          [](const JournalWritten &it) { return sizeAll(it.Marks); },
          [](const auto &) { return std::size_t{0}; },
      },
      message);
  return PerMessage + body;
}

} // namespace rosemaryhinge::spread

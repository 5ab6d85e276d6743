// Writing of held records to the objects journal/<n>.

#pragma once

#include "journal/internal/journalstate.h"
#include "membership/imembers.h"

namespace rosemaryhinge::detail {

[[nodiscard]] std::string journalKey(std::uint64_t number);
/// Object that names the last journal object.
inline constexpr std::string_view JournalHeadKey = "journal/head";
/// Number of the last journal object by the head object. Empty if the text is not readable.
[[nodiscard]] std::optional<std::uint64_t> parseHead(std::string_view text);

/// Starts a write if this proxy is the one to write and enough time has passed.
void checkWrite(JournalState &state, Context &ctx, const IMembers &members);
/// Returns false if the call is another's.
bool onWriterAnswer(JournalState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event);

} // namespace rosemaryhinge::detail

// Conditional updates of the last journal object.

#include "journal/internal/writer.h"

#include "journal/internal/collector.h"
#include "json/jsonparse.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace rosemaryhinge::detail {

namespace {

using Step = JournalTail::Step;

constexpr Duration WriteInterval = 5s;
constexpr Duration CallTimeout = 3s;
/// An object is rewritten with each batch, so that it is kept well below the platform's limit of 1 MB.
constexpr std::size_t MaxObject = 262'144;
constexpr std::size_t MaxBatch = 200'000;
/// After this time, records that the first owner has not written are written by whoever holds them.
constexpr Duration OrphanAge = 20s;

void get(Context &ctx, JournalTail &tail, Step step, std::string key) {
  tail.Now = step;
  tail.Call = ctx.call(Module::Journal);
  ctx.emit(PlatformCall{*tail.Call, CallTimeout, GetObject{std::move(key)}});
}

void put(Context &ctx, JournalTail &tail, Step step, std::string key, ObjectVersion expected,
         std::string value) {
  tail.Now = step;
  tail.Call = ctx.call(Module::Journal);
  ctx.emit(PlatformCall{*tail.Call, CallTimeout, PutObject{std::move(key), expected, std::move(value)}});
}

void tellOtherOwner(JournalState &state, Context &ctx, const IMembers &members) {
  JournalWritten out;
  for (const auto &id : state.Tail.Writing) {
    // Only records without a gap share a mark: the other owner may hold one that was dropped here.
    bool follows = !out.Marks.empty() && out.Marks.back().Node == id.Node &&
                   out.Marks.back().Incarnation == id.Incarnation && out.Marks.back().Last + 1 == id.Sequence;
    if (!follows)
      out.Marks.push_back({id.Node, id.Incarnation, id.Sequence, id.Sequence});
    out.Marks.back().Last = id.Sequence;
  }
  for (const auto &it : owners(members))
    if (it != ctx.Self.Node)
      ctx.emit(SendToPeer{it, out});
}

/// Removes held records that are in the store already: by an update whose answer was lost, or by the other
/// owner.
void eraseCopies(JournalState &state, Context &ctx, const IMembers &members) {
  state.Tail.Writing.clear();
  std::istringstream in(state.Tail.Text);
  for (std::string line; std::getline(in, line);)
    if (auto record = parseRecord(line); record && state.Held.contains(record->Id)) {
      state.Tail.Writing.push_back(record->Id);
      eraseHeld(state, record->Id);
    }
  if (!state.Tail.Writing.empty())
    tellOtherOwner(state, ctx, members);
  state.Tail.CheckCopies = false;
}

void write(JournalState &state, Context &ctx, const IMembers &members) {
  auto &tail = state.Tail;
  if (tail.CheckCopies)
    eraseCopies(state, ctx, members);
  std::string text;
  tail.Writing.clear();
  for (const auto &[id, held] : state.Held) {
    if (text.size() + held.Text.size() + 1 > MaxBatch)
      break;
    text += held.Text + "\n";
    tail.Writing.push_back(id);
  }
  if (tail.Writing.empty()) {
    tail.Now = Step::Idle;
    return;
  }
  if (tail.Number == 0 || tail.Text.size() + text.size() > MaxObject) {
    ++tail.Number;
    tail.Text.clear();
    tail.Version = 0;
  }
  tail.NextText = tail.Text + text;
  put(ctx, tail, Step::Writing, journalKey(tail.Number), tail.Version, tail.NextText);
}

void onDone(JournalState &state, Context &ctx, const IMembers &members, ObjectVersion version) {
  auto &tail = state.Tail;
  if (tail.Now == Step::WritingHead) {
    tail.HeadVersion = version;
    tail.HeadNumber = tail.Number;
    tail.Now = Step::Idle;
    return;
  }
  tail.Version = version;
  tail.Text = std::move(tail.NextText);
  for (const auto &id : tail.Writing)
    eraseHeld(state, id);
  tellOtherOwner(state, ctx, members);
  ctx.emit(Count{"journal_written_total", static_cast<double>(tail.Writing.size())});
  tail.Writing.clear();
  tail.Now = Step::Idle;
  if (tail.HeadNumber < tail.Number)
    put(ctx, tail, Step::WritingHead, std::string(JournalHeadKey), tail.HeadVersion,
        nlohmann::json{{"last", tail.Number}}.dump());
}

void onValue(JournalState &state, Context &ctx, const IMembers &members, const ObjectValue &value) {
  auto &tail = state.Tail;
  if (tail.Now == Step::ReadingHead) {
    tail.HeadVersion = value.Version;
    tail.HeadNumber = value.Version == 0 ? 0 : parseHead(value.Value).value_or(0);
    tail.Number = std::max({tail.Number, tail.HeadNumber, std::uint64_t{1}});
    get(ctx, tail, Step::ReadingTail, journalKey(tail.Number));
    return;
  }
  tail.Version = value.Version;
  tail.Text = value.Version == 0 ? std::string() : value.Value;
  tail.Known = true;
  write(state, ctx, members);
}

void onConflict(JournalState &state, Context &ctx) {
  auto &tail = state.Tail;
  ctx.emit(CountRetry{RetryReason::StoreConflict});
  if (tail.Now == Step::WritingHead) {
    tail.Known = false;
    tail.Now = Step::Idle;
    return;
  }
  tail.CheckCopies = true;
  get(ctx, tail, Step::ReadingTail, journalKey(tail.Number));
}

} // namespace

std::string journalKey(std::uint64_t number) { return "journal/" + std::to_string(number); }

std::optional<std::uint64_t> parseHead(std::string_view text) {
  auto in = tryParseJson(text);
  if (!in.is_object() || !in.contains("last") || !in["last"].is_number_unsigned())
    return std::nullopt;
  return in["last"].get<std::uint64_t>();
}

void checkWrite(JournalState &state, Context &ctx, const IMembers &members) {
  auto &tail = state.Tail;
  if (state.Held.empty() || tail.Now != Step::Idle || ctx.Now < state.NextWrite)
    return;
  auto current = owners(members);
  bool first = !current.empty() && current.front() == ctx.Self.Node;
  bool orphans = std::any_of(state.Held.begin(), state.Held.end(),
                             [&](const auto &it) { return it.second.ReceivedAt + OrphanAge <= ctx.Now; });
  if (!first && !orphans)
    return;
  state.NextWrite = ctx.Now + WriteInterval;
  if (!first) { // The first owner may have written these since; what this proxy knows of the tail is old.
    tail.Known = false;
    tail.CheckCopies = true;
  }
  if (tail.Known)
    write(state, ctx, members);
  else
    get(ctx, tail, Step::ReadingHead, std::string(JournalHeadKey));
}

bool onWriterAnswer(JournalState &state, Context &ctx, const IMembers &members, const PlatformAnswer &event) {
  auto &tail = state.Tail;
  if (event.Call != tail.Call)
    return false;
  tail.Call.reset();
  if (const auto *value = std::get_if<ObjectValue>(&event.Result)) {
    onValue(state, ctx, members, *value);
  } else if (const auto *done = std::get_if<PutDone>(&event.Result)) {
    onDone(state, ctx, members, done->Version);
  } else if (std::holds_alternative<PutConflict>(event.Result)) {
    onConflict(state, ctx);
  } else {
    // The records stay held. What the store has is read again before the next write.
    ctx.emit(CountRetry{RetryReason::StoreFailure});
    tail.CheckCopies = tail.CheckCopies || tail.Now == Step::Writing;
    tail.Known = false;
    tail.Now = Step::Idle;
    state.NextWrite = ctx.Now + WriteInterval;
  }
  return true;
}

} // namespace rosemaryhinge::detail

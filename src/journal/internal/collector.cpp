// Collection of records at their proxy and at the owners.

#include "journal/internal/collector.h"

#include "membership/rendezvous.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// At 300 bytes a record, 1.2 MB: some hours of records of one proxy.
constexpr std::size_t MaxOutgoing = 4096;
constexpr std::size_t MaxHeld = 32768;
constexpr std::size_t MaxHeldBytes = 12'000'000;
constexpr std::size_t MaxCounters = 1024;
constexpr std::size_t BatchRecords = 200;
constexpr std::size_t BatchBytes = 262'144;
constexpr Duration ResendAfter = 2s;
constexpr Duration SummaryInterval = 1min;
constexpr std::size_t Owners = 2;
/// Clocks drift by at most 200 parts per million between two readings of the wall clock.
constexpr std::int64_t DriftDivisor = 5000;

void setWallTime(JournalRecord &record, const Context &ctx) {
  if (!ctx.Wall)
    return;
  auto since = (ctx.Now - ctx.Wall->At).count();
  auto unsure = ctx.Wall->Uncertainty.count() + std::abs(since) / DriftDivisor;
  record.EarliestMicros = ctx.Wall->MicrosSinceEpoch + since - unsure;
  record.LatestMicros = ctx.Wall->MicrosSinceEpoch + since + unsure;
}

void push(JournalState &state, Context &ctx, const JournalEntry &entry,
          std::vector<JournalCounter> counters) {
  JournalRecord record{{ctx.Self.Node, ctx.Incarnation, ++state.NextSequence},
                       entry,
                       ctx.Now.time_since_epoch().count(),
                       std::nullopt,
                       std::nullopt,
                       std::move(counters)};
  setWallTime(record, ctx);
  state.Outgoing.push_back({record.Id.Sequence, formatRecord(record)});
  if (state.Outgoing.size() > MaxOutgoing) {
    state.Outgoing.pop_front();
    ++state.Dropped;
    ctx.emit(Count{"journal_dropped_total"});
  }
}

void hold(JournalState &state, Context &ctx, const RecordId &id, std::string text) {
  auto [it, added] = state.Held.try_emplace(id, HeldRecord{std::move(text), ctx.Now});
  if (!added)
    return;
  state.HeldBytes += it->second.Text.size();
  while (state.Held.size() > MaxHeld || state.HeldBytes > MaxHeldBytes) {
    auto oldest = std::min_element(state.Held.begin(), state.Held.end(), [](const auto &a, const auto &b) {
      return a.second.ReceivedAt < b.second.ReceivedAt;
    });
    auto gone = oldest->first;
    eraseHeld(state, gone);
    ++state.Dropped;
    ctx.emit(Count{"journal_dropped_total"});
  }
}

void holdOwn(JournalState &state, Context &ctx, OwnerLink &link) {
  for (const auto &it : state.Outgoing)
    if (it.Sequence > link.Confirmed)
      hold(state, ctx, {ctx.Self.Node, ctx.Incarnation, it.Sequence}, it.Text);
  if (!state.Outgoing.empty())
    link.Confirmed = state.Outgoing.back().Sequence;
}

void sendBatch(JournalState &state, Context &ctx, const NodeId &owner, OwnerLink &link) {
  if (link.Batch != 0 && ctx.Now < link.SentAt + ResendAfter)
    return;
  JournalRecords out;
  std::size_t bytes = 0;
  for (const auto &it : state.Outgoing) {
    if (it.Sequence <= link.Confirmed)
      continue;
    if (out.Records.size() == BatchRecords || bytes > BatchBytes)
      break;
    out.Records.push_back(it.Text);
    bytes += it.Text.size();
    link.BatchLast = it.Sequence;
  }
  if (out.Records.empty()) {
    link.Batch = 0;
    return;
  }
  out.Batch = ctx.nextNumber();
  link.Batch = out.Batch;
  link.SentAt = ctx.Now;
  ctx.emit(SendToPeer{owner, std::move(out)});
}

void dropConfirmed(JournalState &state) {
  if (state.Links.empty())
    return;
  auto confirmed = ~std::uint64_t{0};
  for (const auto &[node, link] : state.Links)
    confirmed = std::min(confirmed, link.Confirmed);
  while (!state.Outgoing.empty() && state.Outgoing.front().Sequence <= confirmed)
    state.Outgoing.pop_front();
}

} // namespace

void keep(JournalState &state, Context &ctx, const JournalEntry &entry) {
  if (entry.Kind != "refusal" && entry.Kind != "retry") {
    push(state, ctx, entry, {});
    return;
  }
  CounterKey key{entry.Kind, entry.Database, entry.What, entry.Why};
  if (!state.Counters.contains(key) && state.Counters.size() >= MaxCounters)
    key = {entry.Kind, {}, "other", entry.Why};
  ++state.Counters[key];
}

void summarise(JournalState &state, Context &ctx) {
  if (!state.NextSummary || ctx.Now < *state.NextSummary)
    return;
  state.NextSummary = ctx.Now + SummaryInterval;
  if (state.Dropped > 0)
    push(state, ctx,
         {"journal_dropped", {}, std::to_string(state.Dropped) + " records", "a buffer was full", 0, 0}, {});
  state.Dropped = 0;
  if (state.Counters.empty())
    return;
  std::vector<JournalCounter> counters;
  for (const auto &[key, count] : state.Counters) {
    const auto &[kind, database, name, reason] = key;
    counters.push_back({kind, database, name, reason, count});
  }
  state.Counters.clear();
  push(state, ctx, {"summary", {}, "refusals and retries of the last minute", "", 0, 0}, std::move(counters));
}

std::vector<NodeId> owners(const IMembers &members) {
  const auto &live = members.live();
  auto staying = live;
  std::erase_if(staying, [](const auto &it) { return it.Leaving; });
  return rendezvousFirst("journal", staying.empty() ? live : staying, Owners);
}

void sendBatches(JournalState &state, Context &ctx, const IMembers &members) {
  if (state.Outgoing.empty())
    return;
  auto current = owners(members);
  std::erase_if(state.Links, [&](const auto &it) {
    return std::find(current.begin(), current.end(), it.first) == current.end();
  });
  for (const auto &owner : current) {
    auto &link = state.Links[owner];
    if (owner == ctx.Self.Node)
      holdOwn(state, ctx, link);
    else
      sendBatch(state, ctx, owner, link);
  }
  dropConfirmed(state);
}

void onBatch(JournalState &state, Context &ctx, const NodeId &from, const JournalRecords &message) {
  for (const auto &text : message.Records) {
    if (auto record = parseRecord(text))
      hold(state, ctx, record->Id, text);
    else
      ctx.emit(Count{"journal_unreadable_total"});
  }
  ctx.emit(SendToPeer{from, JournalAck{message.Batch}});
}

void onBatchAck(JournalState &state, const NodeId &from, const JournalAck &message) {
  auto it = state.Links.find(from);
  if (it == state.Links.end() || it->second.Batch != message.Batch || message.Batch == 0)
    return;
  it->second.Confirmed = it->second.BatchLast;
  it->second.Batch = 0;
  dropConfirmed(state);
}

void onWritten(JournalState &state, const JournalWritten &message) {
  for (const auto &mark : message.Marks) {
    auto it = state.Held.lower_bound({mark.Node, mark.Incarnation, mark.First});
    while (it != state.Held.end() && it->first <= RecordId{mark.Node, mark.Incarnation, mark.Last}) {
      state.HeldBytes -= it->second.Text.size();
      it = state.Held.erase(it);
    }
  }
}

void eraseHeld(JournalState &state, const RecordId &id) {
  auto it = state.Held.find(id);
  if (it == state.Held.end())
    return;
  state.HeldBytes -= it->second.Text.size();
  state.Held.erase(it);
}

} // namespace rosemaryhinge::detail

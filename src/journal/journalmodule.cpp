// Entry points of the journal module.

#include "journal/journalmodule.h"

#include "base/overloaded.h"
#include "journal/internal/collector.h"
#include "journal/internal/report.h"
#include "journal/internal/writer.h"

#include <algorithm>

namespace rosemaryhinge {

using detail::JournalState;

namespace {

constexpr Duration SendInterval = 500ms;

} // namespace

JournalModule::JournalModule() : State(std::make_unique<JournalState>()) {}
JournalModule::~JournalModule() = default;
JournalModule::JournalModule(JournalModule &&) noexcept = default;
JournalModule &JournalModule::operator=(JournalModule &&) noexcept = default;

void JournalModule::onStarted(Context &ctx) {
  // Spreads the summaries of proxies that start together.
  State->NextSummary = ctx.Now + ctx.jitter(60s);
}

void JournalModule::append(Context &ctx, const std::vector<JournalEntry> &entries) {
  for (const auto &it : entries)
    detail::keep(*State, ctx, it);
  if (!State->Outgoing.empty() && !State->NextSend)
    State->NextSend = ctx.Now + SendInterval;
}

void JournalModule::onPeer(Context &ctx, const IMembers & /*members*/, const NodeId &from,
                           const PeerMessage &message) {
  auto &state = *State;
  std::visit(Overloaded{[&](const JournalRecords &it) { detail::onBatch(state, ctx, from, it); },
                        [&](const JournalAck &it) { detail::onBatchAck(state, from, it); },
                        [&](const JournalWritten &it) { detail::onWritten(state, it); }, [](const auto &) {}},
             message);
  if (!state.Held.empty() && !state.NextSend)
    state.NextSend = ctx.Now + SendInterval;
}

void JournalModule::onPlatformAnswer(Context &ctx, const IMembers &members, const PlatformAnswer &event) {
  if (!detail::onWriterAnswer(*State, ctx, members, event))
    detail::onReportAnswer(*State, ctx, event);
}

void JournalModule::onAdmin(Context &ctx, const IMembers & /*members*/, const AdminRequest &request) {
  detail::startReport(*State, ctx, request);
}

void JournalModule::onTimer(Context &ctx, const IMembers &members) {
  auto &state = *State;
  detail::summarise(state, ctx);
  if (state.NextSend && ctx.Now < *state.NextSend)
    return;
  detail::sendBatches(state, ctx, members);
  detail::checkWrite(state, ctx, members);
  bool idle = state.Outgoing.empty() && state.Held.empty();
  state.NextSend = idle ? std::nullopt : std::optional(ctx.Now + SendInterval);
}

bool JournalModule::flushed() const { return State->Outgoing.empty(); }

std::optional<TimePoint> JournalModule::nextTimer() const {
  if (!State->NextSend || !State->NextSummary)
    return State->NextSend ? State->NextSend : State->NextSummary;
  return std::min(*State->NextSend, *State->NextSummary);
}

} // namespace rosemaryhinge

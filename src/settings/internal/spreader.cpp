// Rounds: fan-out, acknowledgement, retry and hand-over.

#include "settings/internal/spreader.h"

#include "settings/internal/acceptance.h"
#include "settings/internal/delta.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

constexpr std::size_t FanOut = 16;
/// The part of a lost child is split, so that several lost members in a row cost one timeout and not several.
constexpr std::size_t HandOverFanOut = 4;
/// Ten times the longest round trip between regions (24 ms).
constexpr Duration FirstAnswerTimeout = 250ms;
constexpr int MaxTries = 2;
/// Time for one level below a child that has answered: two tries and a hand-over.
constexpr Duration LevelTimeout = 700ms;
constexpr Duration RelayPatience = 5s;
constexpr Duration MissingRetryInterval = 500ms;
constexpr std::size_t MaxMissingRetries = 64;
constexpr std::size_t MaxRounds = 256;

int levels(std::size_t descendants) {
  int out = 0;
  for (std::size_t reach = 0, width = 1; reach < descendants; ++out) {
    width *= FanOut;
    reach += width;
  }
  return out;
}

void send(Context &ctx, const Round &round, const Branch &branch) {
  if (round.What == Round::Kind::Query) {
    ctx.emit(SendToPeer{branch.Child, SettingsQuery{round.Number, branch.Descendants}});
    return;
  }
  auto push = round.Payload;
  push.Round = round.Number;
  push.Descendants = branch.Descendants;
  ctx.emit(SendToPeer{branch.Child, std::move(push)});
}

void addBranches(Context &ctx, Round &round, const std::vector<NodeId> &nodes, std::size_t fanOut) {
  auto count = std::min(fanOut, nodes.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto first = nodes.begin() + static_cast<std::ptrdiff_t>(nodes.size() * i / count);
    auto last = nodes.begin() + static_cast<std::ptrdiff_t>(nodes.size() * (i + 1) / count);
    Branch branch{*first, {first + 1, last}, 1, ctx.Now + FirstAnswerTimeout, false, false, 0};
    send(ctx, round, branch);
    round.Branches.push_back(std::move(branch));
  }
}

void answerParent(const SettingsState &state, Context &ctx, const Round &round, bool final) {
  const auto &[parent, number] = *round.Parent;
  bool alone = round.Branches.empty();
  if (round.What == Round::Kind::Query) {
    SettingsReport out{number, {}, {}, final};
    if (!final || alone)
      out.Members.push_back({ctx.Self.Node, ctx.Incarnation, state.Current.Revision,
                             state.Current.Revision == 0 ? Duration{} : ctx.Now - state.Current.Since});
    if (final) {
      for (const auto &[node, it] : round.Reports)
        out.Members.push_back(it);
      out.Missing.assign(round.Missing.begin(), round.Missing.end());
    }
    ctx.emit(SendToPeer{parent, std::move(out)});
    return;
  }
  SettingsAck out{number, round.Payload.Revision, round.inForce(), {}, final};
  if (final) {
    out.Missing.assign(round.Missing.begin(), round.Missing.end());
    if (round.OwnPending || round.OwnRefused)
      out.Missing.push_back(ctx.Self.Node);
  }
  ctx.emit(SendToPeer{parent, std::move(out)});
}

/// Closes a relayed round whose part of the tree is settled.
void settle(const SettingsState &state, Context &ctx, Round &round) {
  if (round.Closed || !round.Parent || !round.settled() || round.OwnPending)
    return;
  round.Closed = true;
  answerParent(state, ctx, round, true);
}

Round &newRound(SettingsState &state, Context &ctx, Round::Kind what, Duration patience) {
  if (state.Rounds.size() >= MaxRounds) {
    state.Rounds.erase(state.Rounds.begin());
    ctx.emit(Count{"settings_rounds_dropped_total"});
  }
  auto number = ctx.nextNumber();
  auto &round = state.Rounds[number];
  round.What = what;
  round.Number = number;
  round.GiveUpAt = ctx.Now + patience;
  round.NextRetry = ctx.Now + MissingRetryInterval;
  return round;
}

/// Other live members by region, shuffled within it, so that a part of the tree stays in a region mostly and
/// the inner nodes change from round to round.
std::vector<NodeId> spreadOrder(Context &ctx, const IMembers &members) {
  std::vector<std::tuple<Region, std::uint64_t, NodeId>> order;
  for (const auto &it : members.live())
    if (it.Node != ctx.Self.Node)
      order.emplace_back(it.Region, ctx.Random(), it.Node);
  std::sort(order.begin(), order.end());
  std::vector<NodeId> out;
  out.reserve(order.size());
  for (auto &[region, random, node] : order)
    out.push_back(std::move(node));
  return out;
}

void startBranches(Context &ctx, Round &round, const IMembers &members) {
  auto nodes = spreadOrder(ctx, members);
  round.Targets.insert(nodes.begin(), nodes.end());
  addBranches(ctx, round, nodes, FanOut);
}

Round *knownRelay(SettingsState &state, const NodeId &from, std::uint64_t number) {
  auto it = std::find_if(state.Rounds.begin(), state.Rounds.end(), [&](const auto &r) {
    return r.second.Parent && r.second.Parent->first == from && r.second.Parent->second == number;
  });
  return it == state.Rounds.end() ? nullptr : &it->second;
}

Branch *findBranch(Round &round, const NodeId &child) {
  auto it = std::find_if(round.Branches.rbegin(), round.Branches.rend(),
                         [&](const auto &b) { return b.Child == child && !b.Done; });
  return it == round.Branches.rend() ? nullptr : &*it;
}

void heard(Context &ctx, Round &round, Branch &branch) {
  round.Missing.erase(branch.Child);
  if (branch.Heard)
    return;
  branch.Heard = true;
  branch.Due = ctx.Now + LevelTimeout * levels(branch.Descendants.size());
}

/// A branch is overdue: its child is tried again, or the rest of its part is handed to others.
void escalate(Context &ctx, Round &round, std::size_t at) {
  auto &branch = round.Branches[at];
  if (!branch.Heard && branch.Tries < MaxTries) {
    ++branch.Tries;
    branch.Due = ctx.Now + FirstAnswerTimeout;
    send(ctx, round, branch);
    return;
  }
  branch.Done = true;
  if (!branch.Heard)
    round.Missing.insert(branch.Child);
  ctx.emit(Count{"settings_branches_handed_over_total"});
  auto rest = std::move(branch.Descendants);
  branch.Descendants.clear();
  addBranches(ctx, round, rest, HandOverFanOut); // Invalidates branch.
}

/// The origin goes on trying members that are missing, and takes in members that joined since.
void retryMissing(SettingsState &state, Context &ctx, Round &round, const IMembers &members) {
  if (round.Parent || ctx.Now < round.NextRetry)
    return;
  round.NextRetry = ctx.Now + MissingRetryInterval;
  std::vector<NodeId> again;
  for (const auto &it : members.live())
    if (it.Node != ctx.Self.Node && round.Targets.insert(it.Node).second)
      again.push_back(it.Node);
  std::erase_if(round.Missing, [&](const auto &it) { return !members.isLive(it); });
  for (const auto &it : round.Missing)
    if (again.size() < MaxMissingRetries && findBranch(round, it) == nullptr)
      again.push_back(it);
  // The whole text, because the base of a member that was away may be older.
  if (round.What == Round::Kind::Push && round.Payload.Revision == state.Current.Revision)
    round.Payload = wholePush(state.Current.Revision, state.Current.Tree, state.Current.Version);
  std::erase_if(round.Branches, [](const auto &it) { return it.Done && !it.Heard; });
  addBranches(ctx, round, again, again.size());
}

void noteMissing(SettingsState &state, Context &ctx, const Round &round) {
  if (round.Parent)
    return;
  for (const auto &it : round.Missing)
    state.MissingSince.try_emplace(it, ctx.Now);
  // Answers carry counts; only a settled round tells by name who has answered.
  if (!round.settled())
    return;
  for (const auto &it : round.Targets)
    if (!round.Missing.contains(it))
      state.MissingSince.erase(it);
}

} // namespace

bool Round::settled() const {
  return std::all_of(Branches.begin(), Branches.end(), [](const auto &it) { return it.Done; });
}

std::uint32_t Round::inForce() const {
  std::uint32_t out = OwnPending || OwnRefused ? 0 : 1;
  for (const auto &it : Branches)
    out += std::max<std::uint32_t>(it.InForce, it.Heard ? 1 : 0);
  return out;
}

std::uint64_t startPush(SettingsState &state, Context &ctx, const IMembers &members, Duration patience) {
  auto &round = newRound(state, ctx, Round::Kind::Push, patience);
  round.Payload = wholePush(state.Current.Revision, state.Current.Tree, state.Current.Version);
  makeDelta(round.Payload, state.Current.PreviousRevision, state.Current.PreviousTree);
  state.PushSeen = std::max(state.PushSeen, state.Current.Revision);
  startBranches(ctx, round, members);
  return round.Number;
}

std::uint64_t startQuery(SettingsState &state, Context &ctx, const IMembers &members, Duration patience) {
  auto &round = newRound(state, ctx, Round::Kind::Query, patience);
  startBranches(ctx, round, members);
  return round.Number;
}

void onPush(SettingsState &state, Context &ctx, const NodeId &from, const SettingsPush &message) {
  state.PushSeen = std::max(state.PushSeen, message.Revision);
  bool reached = state.Current.Revision == message.Revision;
  bool refused = false;
  if (!reached) {
    if (auto text = wholeText(message, state.Current.Revision, state.Current.Tree)) {
      reached = acceptTree(state, ctx, message.Revision, std::move(*text), message.Version, UnknownKeys::Skip,
                           from.str());
      refused = !reached;
    } else if (state.Current.Revision > message.Revision) {
      reached = true; // The delta of an older revision.
    } else {
      ctx.emit(SendToPeer{from, SettingsRequest{state.Current.Revision}});
    }
  }
  if (reached)
    acknowledgePending(state, ctx);
  if (message.Round == 0)
    return;
  if (auto *known = knownRelay(state, from, message.Round)) {
    if (known->Closed || !known->OwnPending)
      answerParent(state, ctx, *known, known->Closed);
    return;
  }
  auto &round = newRound(state, ctx, Round::Kind::Push, RelayPatience);
  round.Parent = {from, message.Round};
  round.Payload = message;
  round.Payload.Descendants.clear();
  round.OwnPending = !reached && !refused;
  round.OwnRefused = refused;
  addBranches(ctx, round, message.Descendants, FanOut);
  if (!round.Branches.empty() && reached)
    answerParent(state, ctx, round, false);
  settle(state, ctx, round);
}

void onQuery(SettingsState &state, Context &ctx, const NodeId &from, const SettingsQuery &message) {
  if (auto *known = knownRelay(state, from, message.Round)) {
    answerParent(state, ctx, *known, known->Closed);
    return;
  }
  auto &round = newRound(state, ctx, Round::Kind::Query, RelayPatience);
  round.Parent = {from, message.Round};
  addBranches(ctx, round, message.Descendants, FanOut);
  if (!round.Branches.empty())
    answerParent(state, ctx, round, false);
  settle(state, ctx, round);
}

void onAck(SettingsState &state, Context &ctx, const NodeId &from, const SettingsAck &message) {
  auto it = state.Rounds.find(message.Round);
  if (it == state.Rounds.end() || it->second.What != Round::Kind::Push)
    return;
  auto &round = it->second;
  auto *branch = findBranch(round, from);
  if (branch == nullptr)
    return;
  if (message.InForce > 0)
    heard(ctx, round, *branch);
  if (message.Final) {
    branch->Done = true;
    branch->Heard = branch->Heard && message.InForce > 0;
    branch->InForce = message.InForce;
    round.Missing.insert(message.Missing.begin(), message.Missing.end());
  }
  noteMissing(state, ctx, round);
  settle(state, ctx, round);
}

void onReport(SettingsState &state, Context &ctx, const NodeId &from, const SettingsReport &message) {
  auto it = state.Rounds.find(message.Round);
  if (it == state.Rounds.end() || it->second.What != Round::Kind::Query)
    return;
  auto &round = it->second;
  for (const auto &report : message.Members) {
    round.Reports[report.Node] = report;
    round.Missing.erase(report.Node);
  }
  if (auto *branch = findBranch(round, from)) {
    heard(ctx, round, *branch);
    branch->Done = message.Final;
  }
  if (message.Final)
    for (const auto &node : message.Missing)
      if (!round.Reports.contains(node))
        round.Missing.insert(node);
  noteMissing(state, ctx, round);
  settle(state, ctx, round);
}

void onRequest(SettingsState &state, Context &ctx, const NodeId &from, const SettingsRequest &message) {
  if (state.Current.Revision <= message.KnownRevision)
    return;
  auto push = wholePush(state.Current.Revision, state.Current.Tree, state.Current.Version);
  if (message.KnownRevision == state.Current.PreviousRevision)
    makeDelta(push, state.Current.PreviousRevision, state.Current.PreviousTree);
  ctx.emit(SendToPeer{from, std::move(push)});
}

void acknowledgePending(SettingsState &state, Context &ctx) {
  for (auto &[number, round] : state.Rounds) {
    if (!round.OwnPending || round.Payload.Revision > state.Current.Revision)
      continue;
    round.OwnPending = false;
    if (!round.settled())
      answerParent(state, ctx, round, false);
    settle(state, ctx, round);
  }
}

void checkRounds(SettingsState &state, Context &ctx, const IMembers &members) {
  for (auto it = state.Rounds.begin(); it != state.Rounds.end();) {
    auto &round = it->second;
    for (std::size_t i = 0; i < round.Branches.size(); ++i)
      if (!round.Branches[i].Done && round.Branches[i].Due <= ctx.Now)
        escalate(ctx, round, i);
    noteMissing(state, ctx, round);
    retryMissing(state, ctx, round, members);
    settle(state, ctx, round);
    if (ctx.Now < round.GiveUpAt) {
      ++it;
      continue;
    }
    if (round.Parent && !round.Closed) {
      for (const auto &branch : round.Branches)
        if (!branch.Done && !branch.Heard)
          round.Missing.insert(branch.Child);
      round.Closed = true;
      answerParent(state, ctx, round, true);
    }
    it = state.Rounds.erase(it);
  }
  std::erase_if(state.MissingSince, [&](const auto &entry) { return !members.isLive(entry.first); });
}

std::optional<TimePoint> earliestRound(const SettingsState &state) {
  std::optional<TimePoint> out;
  auto add = [&](TimePoint due) {
    if (!out || due < *out)
      out = due;
  };
  for (const auto &[number, round] : state.Rounds) {
    add(round.GiveUpAt);
    if (!round.Parent)
      add(round.NextRetry);
    for (const auto &it : round.Branches)
      if (!it.Done)
        add(it.Due);
  }
  return out;
}

} // namespace rosemaryhinge::detail

// Answers of the fleet to a commit fence.

#include "leadership/internal/fleetfence.h"

#include "freshness/commitfence.h"

#include <algorithm>

namespace rosemaryhinge::detail {

void FleetFence::begin(std::uint64_t claimedAt, std::uint64_t termSince, TimePoint now) {
  TermSince = termSince;
  if (started() && ClaimedAt == claimedAt)
    return;
  StartedAt = now;
  ClaimedAt = claimedAt;
  AllKnown = false;
  SteppedDownAt.reset();
  for (auto &[node, it] : Members)
    it = Member();
}

void FleetFence::reset() { *this = FleetFence(); }

void FleetFence::addMembers(std::span<const NodeId> proxies, bool all) {
  for (const auto &it : proxies)
    Members.try_emplace(it);
  AllKnown = all;
}

void FleetFence::setSuccessor(const TargetId &server) {
  if (server == Successor)
    return;
  Successor = server;
  for (auto &[node, it] : Members)
    it.SentAt.reset();
}

std::vector<NodeId> FleetFence::takeDue(TimePoint now) {
  std::vector<NodeId> out;
  for (auto &[node, it] : Members) {
    const auto interval = answered(it, now) ? CommitFence::RenewalInterval : RetryInterval;
    if (it.SentAt && now - *it.SentAt < interval)
      continue;
    it.SentAt = now;
    out.push_back(node);
  }
  return out;
}

void FleetFence::onReply(const NodeId &from, std::uint64_t token, Position acknowledged,
                         std::optional<std::uint64_t> knownSince, TimePoint now) {
  const auto it = Members.find(from);
  // A proxy that answers an earlier fence may have ended it since.
  if (!started() || it == Members.end() || token < ClaimedAt)
    return;
  if (!answered(it->second, now))
    it->second.RaisedSince = now;
  it->second.AnsweredRequestAt = it->second.SentAt.value_or(*StartedAt);
  it->second.Lost = false;
  it->second.ThroughStore = false;
  it->second.KnownSince = knownSince;
  Acknowledged = std::max(Acknowledged, acknowledged);
}

void FleetFence::onUnreported(const NodeId &from, std::uint64_t token, const UnreportedCommits &commits,
                              StepDownState stepDown, TimePoint now) {
  const auto it = Members.find(from);
  if (!started() || it == Members.end() || token < ClaimedAt)
    return;
  ServerAcknowledged = std::max(ServerAcknowledged, commits.Acknowledged);
  it->second.Unanswered = commits.Unanswered;
  it->second.StepDown = stepDown;
  if (stepDown == StepDownState::SteppedDown && !SteppedDownAt)
    SteppedDownAt = now;
}

std::vector<NodeId> FleetFence::unanswered() const {
  std::vector<NodeId> out;
  for (const auto &[node, it] : Members)
    if (it.Unanswered)
      out.push_back(node);
  return out;
}

bool FleetFence::awaitsStepDown() const {
  return std::any_of(Members.begin(), Members.end(), [](const auto &it) {
    return !it.second.Lost && it.second.StepDown == StepDownState::Ordered;
  });
}

void FleetFence::onStoredAnswer(const NodeId &from, const StoredFenceAnswer &answer, std::uint64_t knownSince,
                                TimePoint now) {
  const auto it = Members.find(from);
  if (it == Members.end() || answer.Token <= it->second.StoredToken)
    return;
  it->second.StoredToken = answer.Token;
  onReply(from, answer.Token, answer.Acknowledged, knownSince, now);
  onUnreported(from, answer.Token, answer.Unreported, StepDownState::NotOrdered, now);
  it->second.ThroughStore = true;
}

std::vector<NodeId> FleetFence::unreached(TimePoint now) const {
  std::vector<NodeId> out;
  for (const auto &[node, it] : Members)
    if (it.ThroughStore || !answered(it, now))
      out.push_back(node);
  return out;
}

void FleetFence::onLost(const NodeId &node) {
  if (const auto it = Members.find(node); it != Members.end())
    it->second.Lost = true;
}

bool FleetFence::complete(TimePoint now) const {
  return raisedByAll(now) && coversTerm(OwnKnownSince) &&
         std::all_of(Members.begin(), Members.end(),
                     [&](const auto &it) { return coversTerm(it.second.KnownSince); });
}

bool FleetFence::raisedByAll(TimePoint now) const {
  return started() && AllKnown && std::all_of(Members.begin(), Members.end(), [&](const auto &it) {
           return answered(it.second, now);
         });
}

bool FleetFence::completeFor(Duration time, TimePoint now) const {
  return raisedByAll(now) && std::all_of(Members.begin(), Members.end(), [&](const auto &it) {
           return now - *it.second.RaisedSince >= time;
         });
}

bool FleetFence::settled(Duration wait, TimePoint now) const {
  if (!started())
    return false;
  return now - *StartedAt >= wait || std::all_of(Members.begin(), Members.end(), [&](const auto &it) {
           return it.second.Lost || answered(it.second, now);
         });
}

std::vector<NodeId> FleetFence::members() const {
  std::vector<NodeId> out;
  out.reserve(Members.size());
  for (const auto &[node, it] : Members)
    out.push_back(node);
  return out;
}

std::vector<NodeId> FleetFence::late() const {
  std::vector<NodeId> out;
  for (const auto &[node, it] : Members)
    if (it.AnsweredRequestAt && !coversTerm(it.KnownSince))
      out.push_back(node);
  return out;
}

std::vector<NodeId> FleetFence::silent(TimePoint now) const {
  std::vector<NodeId> out;
  for (const auto &[node, it] : Members)
    if (!answered(it, now))
      out.push_back(node);
  return out;
}

} // namespace rosemaryhinge::detail

// Which proxies have raised the commit fence of a change of primary, and what they have reported until then.
//
// An answer proves what its node has reported in a term only if the record from which it was given began
// before the term did (ReportedCommits). A process that took the place of one that was killed knows nothing
// of what that one has reported.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/time.h"
#include "protocol/directory.h"
#include "protocol/peer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace rosemaryhinge::detail {

class FleetFence {
public:
  /// Starts the fence of a claim. What was answered under an earlier claim counts no more.
  /// \param claimedAt Revision of the claim's first write.
  /// \param termSince Revision after which the present primary's term began (Claim::TermSince).
  void begin(std::uint64_t claimedAt, std::uint64_t termSince, TimePoint now);
  void reset();
  [[nodiscard]] bool started() const { return StartedAt.has_value(); }
  /// \param all Whether no other proxy may report commits.
  void addMembers(std::span<const NodeId> proxies, bool all);
  [[nodiscard]] bool allKnown() const { return AllKnown; }
  /// Sets since when it is known what this proxy has reported, and those that have ended; empty if it is not.
  void setOwnKnownSince(std::optional<std::uint64_t> since) { OwnKnownSince = since; }
  /// Sets what the requests name as the server that is promoted. Each proxy is told of a change at once.
  void setSuccessor(const TargetId &server);
  [[nodiscard]] const TargetId &successor() const { return Successor; }

  /// The proxies to which the request is due, again or for the first time. It counts as sent.
  [[nodiscard]] std::vector<NodeId> takeDue(TimePoint now);
  /// \param token Of the request that is answered.
  /// \param knownSince CommitFenceReply::KnownSince.
  void onReply(const NodeId &from, std::uint64_t token, Position acknowledged,
               std::optional<std::uint64_t> knownSince, TimePoint now);
  /// What a proxy knows of commits that it has not reported. Comes with an answer, and once it changes.
  /// \param token Of the last request that the proxy got.
  void onUnreported(const NodeId &from, std::uint64_t token, const UnreportedCommits &commits,
                    StepDownState stepDown, TimePoint now);
  /// An answer that a proxy has written into its entry in the store. Counts once.
  void onStoredAnswer(const NodeId &from, const StoredFenceAnswer &answer, std::uint64_t knownSince,
                      TimePoint now);
  /// The connection to a proxy was lost. Its process may be another one, which has raised no fence.
  void onLost(const NodeId &node);

  /// Whether every proxy has raised the fence, and it holds there for a while.
  [[nodiscard]] bool raisedByAll(TimePoint now) const;
  /// Whether, besides, the answers cover all that any process has reported in the present term.
  [[nodiscard]] bool complete(TimePoint now) const;
  /// Whether every proxy has had it raised for this long.
  [[nodiscard]] bool completeFor(Duration time, TimePoint now) const;
  /// Whether there is nothing to wait for: each proxy has answered or is lost, or the time has passed.
  [[nodiscard]] bool settled(Duration wait, TimePoint now) const;
  /// The highest position that a proxy has reported.
  [[nodiscard]] Position acknowledged() const { return Acknowledged; }
  /// The highest position that a server has acknowledged to a proxy, reported or not.
  [[nodiscard]] Position serverAcknowledged() const { return ServerAcknowledged; }
  /// The proxies that have sent commits of which it is not known whether a server has acknowledged them.
  [[nodiscard]] std::vector<NodeId> unanswered() const;
  /// Whether a proxy has ordered the former primary to step down, without an answer yet.
  [[nodiscard]] bool awaitsStepDown() const;
  /// When a proxy first told that the former primary has stepped down.
  [[nodiscard]] std::optional<TimePoint> steppedDownAt() const { return SteppedDownAt; }
  [[nodiscard]] std::vector<NodeId> members() const;
  /// The proxies whose answer does not count, or not any more.
  [[nodiscard]] std::vector<NodeId> silent(TimePoint now) const;
  /// The proxies that have not answered by a message: they are asked through the store.
  [[nodiscard]] std::vector<NodeId> unreached(TimePoint now) const;
  /// Whether the fence was begun at this time or before.
  [[nodiscard]] bool begunBy(TimePoint time) const { return started() && *StartedAt <= time; }
  /// Whether the proxies have had time to answer by a message.
  [[nodiscard]] bool askedFor(Duration time, TimePoint now) const {
    return started() && now - *StartedAt >= time;
  }
  /// The proxies whose record began after the term did.
  [[nodiscard]] std::vector<NodeId> late() const;

  /// Revision of the claim in the last requests.
  [[nodiscard]] std::uint64_t token() const { return Token; }
  void setToken(std::uint64_t token) { Token = token; }

  static constexpr Duration RetryInterval = 100ms;
  /// An answer counts for this long after its request was sent. The fence of the proxy then holds for longer
  /// than an order is on its way.
  static constexpr Duration MaxAnswerAge = 5s;

private:
  struct Member {
    std::optional<TimePoint> SentAt;
    std::optional<TimePoint> AnsweredRequestAt; ///< When the newest request was sent that has an answer.
    std::optional<TimePoint> RaisedSince;       ///< It has answered since without being lost.
    bool Lost = false;                          ///< Since the last answer.
    std::optional<std::uint64_t> KnownSince;    ///< Of the last answer.
    std::uint64_t StoredToken = 0;              ///< Of the last answer through the store.
    bool ThroughStore = false;                  ///< The last answer came through the store.
    bool Unanswered = false;                    ///< UnreportedCommits::Unanswered.
    StepDownState StepDown = StepDownState::NotOrdered;
  };
  /// Whether a record holds all that its node has reported in the present term.
  [[nodiscard]] bool coversTerm(std::optional<std::uint64_t> knownSince) const {
    return knownSince && (*knownSince == 0 || *knownSince < TermSince);
  }
  static bool answered(const Member &it, TimePoint now) {
    return !it.Lost && it.AnsweredRequestAt && now - *it.AnsweredRequestAt < MaxAnswerAge;
  }

  std::optional<TimePoint> StartedAt;
  std::uint64_t ClaimedAt = 0;
  std::uint64_t TermSince = 0;
  std::optional<std::uint64_t> OwnKnownSince;
  std::uint64_t Token = 0;
  bool AllKnown = false;
  TargetId Successor;
  std::map<NodeId, Member> Members;
  Position Acknowledged;
  Position ServerAcknowledged;
  std::optional<TimePoint> SteppedDownAt;
};

} // namespace rosemaryhinge::detail

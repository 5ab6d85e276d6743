// Connections of this proxy to servers: opened on demand, lent to one session at a time, closed when idle.
//
// A server takes a bounded number of connections from all proxies together. Nobody divides them up: a proxy
// opens what its waiting work needs, the server refuses what is too many, and idle connections are closed
// soon, so that connections move to where the load is. Where there are only a few connections for each proxy,
// one proxy of an availability zone holds them, and the others borrow from it for one transaction at a time.

#pragma once

#include "catalog/catalog.h"
#include "links/serverhealth.h"
#include "protocol/context.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemaryhinge {

/// A connection that another proxy is to lend.
struct LoanParameters {
  NodeId Lender;
  std::uint32_t Priority = 0; ///< Of the work that waits for it.
};

/// What an awaited answer belongs to.
enum class LinkStep : std::uint8_t {
  Prepare,   ///< Brings the values and prepared statements of the session onto the link.
  Begin,     ///< Start of a transaction.
  Statement, ///< The caller's statement.
  End,       ///< The proxy's own rollback.
  Order,     ///< Status or an order of a change of primary.
};

struct LinkUser {
  SessionId Session; ///< Zero if the link is lent for a change of primary or to another proxy.
  bool ForPrimaryChange = false;
  std::uint64_t Loan = 0; ///< Number that the lender knows the loan by; zero if there is none.
};

class LinkPool {
public:
  /// Takes an idle link to a server for a session, preferring one that carries the session's values.
  [[nodiscard]] std::optional<LinkId> acquire(const TargetId &target, LinkUser user,
                                              const SessionValues &values, TimePoint now);
  /// Opens a further link for waiting work, unless enough are being opened or the server has refused lately.
  void openLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting);
  /// As want, but for a connection that another proxy lends for one transaction.
  void borrowLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting,
                   const LoanParameters &wish);
  /// Tells how many proxies there are, in how many availability zones. They share a server's connections,
  /// which decides how many idle links are kept.
  void setFleet(std::size_t proxies, std::size_t zones) {
    Proxies = std::max<std::size_t>(1, proxies);
    Zones = std::max<std::size_t>(1, zones);
  }
  /// Whether a service has so few connections that one proxy of each availability zone is to hold them.
  [[nodiscard]] bool needsLending(const Catalog &catalog, const DatabaseId &service) const;
  /// Commands that make the link carry these values and this prepared statement.
  [[nodiscard]] std::vector<LinkCommand> prepare(LinkId link, const SessionValues &values,
                                                 const PreparedShape *shape);
  /// Name under which a shape is prepared on every link of this proxy.
  [[nodiscard]] std::string preparedName(const PreparedShape &shape);
  void send(Context &ctx, LinkId link, std::vector<LinkCommand> commands);
  /// Gives a link back. A transaction that is still open is rolled back, and the link is lent again once
  /// nothing is awaited on it.
  void release(Context &ctx, LinkId link);
  /// Closes a link whose state is in doubt. Silent: because the server did not answer.
  void close(Context &ctx, LinkId link, bool silent);

  /// The lender of a link; empty if this proxy has opened it itself.
  [[nodiscard]] NodeId lenderOf(LinkId link) const;
  /// Links that a proxy lends to this one.
  [[nodiscard]] std::vector<LinkId> lentBy(const NodeId &lender) const;
  /// Gives a borrowed link back that nobody has taken.
  void returnUnused(Context &ctx, LinkId link);
  /// The lender has the request, and answers once it has a connection.
  void onQueued(Context &ctx, LinkId link);
  /// Lenders that have left a request without any answer for a while. The requests count as failed.
  [[nodiscard]] std::vector<NodeId> abandonUnansweredRequests(Context &ctx);

  // Events. Answers for which the pool has no link are late ones of closed links.

  void onOpened(Context &ctx, LinkId link);
  struct Reply {
    LinkStep Step = LinkStep::Statement;
    LinkUser User;
    TargetId Target;
    DatabaseId Service;
    TimePoint SentAt;
    bool Last = false; ///< Nothing else is awaited on the link.
  };
  [[nodiscard]] std::optional<Reply> onReply(Context &ctx, const LinkReplied &event);
  struct Closed {
    LinkUser User;
    TargetId Target;
    DatabaseId Service;
    bool Opened = false;
  };
  [[nodiscard]] std::optional<Closed> onClosed(Context &ctx, const LinkClosed &event);
  void onTimer(Context &ctx, const Catalog &catalog);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

  [[nodiscard]] const ServerHealth &health(const TargetId &target) const;
  void recordDuration(const TargetId &target, Duration value) {
    Servers[target].Health.recordDuration(value);
  }
  [[nodiscard]] std::size_t open(const TargetId &target) const;
  [[nodiscard]] std::size_t busy(const TargetId &target) const;
  [[nodiscard]] std::size_t idle(const TargetId &target) const;
  [[nodiscard]] bool full(const TargetId &target, TimePoint now) const;
  /// Whether as many statements are at work at the server as it takes from this proxy without refusing.
  [[nodiscard]] bool atConcurrencyLimit(const TargetId &target) const;
  [[nodiscard]] std::optional<TargetId> targetOf(LinkId link) const;
  [[nodiscard]] std::size_t size() const { return Links.size(); }

  /// Statements at work at one server of which a proxy knows nothing yet.
  static constexpr double InitialConcurrencyLimit = 64;

private:
  enum class Phase : std::uint8_t { Opening, Idle, Busy };
  struct PendingReply {
    LinkStep Step;
    TimePoint SentAt;
  };
  struct Link {
    TargetId Target;
    DatabaseId Service;
    Phase State = Phase::Opening;
    TimePoint Since; ///< Of the phase.
    LinkUser User;
    bool InUse = false;
    TransactionState ServerState = TransactionState::Idle; ///< As of the last answer.
    SessionValues Values;                                  ///< What the server holds for this connection.
    std::set<std::string> Prepared; ///< Names that the server holds for this connection.
    std::deque<PendingReply> PendingReplies;
    NodeId Lender;       ///< Of a borrowed link.
    bool Queued = false; ///< The lender has told that the request waits there.
    /// Of a borrowed link: what the next commands need to find on it.
    SessionValues NextValues;
    std::optional<PreparedShape> NextShape;
  };
  struct Server {
    std::set<LinkId> Links;
    std::size_t Opening = 0;
    std::size_t Idle = 0;
    std::size_t PendingLoanRequests = 0; ///< Requests for loans without an answer.
    std::size_t PendingReplies = 0;      ///< Answers that are due on own links, and own links being opened.
    std::size_t LinksAwaitingReply = 0;  ///< Own links with an answer due.
    /// Links that may be at work at once. Falls when the server refuses work as busy, and grows with answers.
    double ConcurrencyLimit = InitialConcurrencyLimit;
    std::optional<TimePoint> LimitLoweredAt;
    std::optional<TimePoint> FullAt; ///< When the server last had too many connections.
    TimePoint RetryAt;               ///< No new link before.
    ServerHealth Health;
  };

  void adjustConcurrencyLimit(Server &server, const StatementOutcome &outcome, LinkStep step, TimePoint now);
  void endLoan(Context &ctx, LinkId id, const Link &link, LoanEndReason why);
  void setPhase(Link &link, Phase next, TimePoint now);
  void scheduleSweep(TimePoint now);
  void removeLink(Context &ctx, LinkId id, std::optional<LinkFailure> why, bool silent);
  [[nodiscard]] std::size_t maxIdleLinks(const Catalog &catalog, const TargetId &target) const;
  [[nodiscard]] Duration idleTimeout(const Catalog &catalog, const TargetId &target,
                                     const Server &server) const;

  std::map<LinkId, Link> Links;
  std::map<TargetId, Server> Servers;
  std::map<PreparedShape, std::string> PreparedNames;
  std::uint64_t LastNameNumber = 0;
  std::size_t Proxies = 1;
  std::size_t Zones = 1;
  std::optional<TimePoint> NextSweep;
};

} // namespace rosemaryhinge

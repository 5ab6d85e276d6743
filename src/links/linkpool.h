// Pool of this proxy's connections (links) to servers. Links are opened on demand, assigned to one session at
// a time, and closed when idle.
//
// A server accepts a limited number of connections from all proxies together, and no coordinator divides
// them. Each proxy opens links as its waiting work requires, the server refuses connections above its limit,
// and idle links are closed quickly, so that connections move to the proxies under load. Where the limit
// allows only a few connections for each proxy, one proxy of each availability zone holds them, and the
// others borrow from it for one transaction at a time.

#pragma once

#include "catalog/catalog.h"
#include "links/serverhealth.h"
#include "links/serverpace.h"
#include "protocol/context.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge {

/// Parameters of a request to borrow a connection from another proxy.
struct LoanParameters {
  NodeId Lender;
  std::uint32_t Priority = 0; ///< Priority of the work that waits for the connection.
  WorkspaceId Workspace{};    ///< Workspace of the work; empty if it has none.
};

/// Kind of command that a pending reply belongs to.
enum class LinkStep : std::uint8_t {
  Prepare,   ///< Sets or discards session values and prepared statements on the link.
  Begin,     ///< Start of a transaction.
  Statement, ///< The caller's statement.
  End,       ///< The proxy's own rollback.
  Order,     ///< A status query or a command of a primary change.
};

struct LinkUser {
  SessionId Session; ///< Zero if the link is used for a primary change or lent to another proxy.
  bool ForPrimaryChange = false;
  std::uint64_t Loan = 0; ///< The lender's number for the loan; zero if the link is not lent.
  /// Workspace of the statements to run; empty if they belong to none.
  WorkspaceId Workspace{};

  /// Whether the link is for commands of this proxy's own, which may run on a link of any workspace.
  [[nodiscard]] bool own() const { return ForPrimaryChange || (Session == SessionId() && Loan == 0); }
};

/// What a link is opened for.
enum class LinkPurpose : std::uint8_t {
  Statements,
  Control, ///< Queries and orders of this proxy's own, which must not wait behind callers' work.
};

class LinkPool {
public:
  /// Assigns an idle link of the user's workspace, preferring one that already has the session's values set.
  /// Returns nullopt if no such link is idle or, except for a primary change, the concurrency limit is
  /// reached.
  [[nodiscard]] std::optional<LinkId> acquire(const TargetId &target, const LinkUser &user,
                                              const SessionValues &values, TimePoint now);
  /// Opens links for waiting work of a workspace, unless enough are being opened or the server is in a retry
  /// delay after a refusal or failure. At the connection limit, idle links of other workspaces are closed in
  /// favour of the new ones; without any, nothing is opened.
  void openLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting,
                 LinkPurpose purpose = LinkPurpose::Statements, const WorkspaceId &workspace = {});
  /// Keeps the next link that becomes idle for a primary change, for some time.
  void reserveForChange(const TargetId &target, TimePoint now, Duration time = ReservationTime);
  /// Like openLinks, but requests connections that another proxy lends for one transaction each.
  void borrowLinks(Context &ctx, const Catalog &catalog, const TargetId &target, std::size_t waiting,
                   const LoanParameters &wish);
  /// Sets the number of proxies and of their availability zones. They share a server's connections, so these
  /// numbers determine how many idle links are kept.
  void setFleet(std::size_t proxies, std::size_t zones) {
    Proxies = std::max<std::size_t>(1, proxies);
    Zones = std::max<std::size_t>(1, zones);
  }
  /// Whether a service allows so few connections that one proxy of each availability zone holds them all.
  [[nodiscard]] bool needsLending(const Catalog &catalog, const DatabaseId &service) const;
  /// Returns the commands that set these values and this prepared statement on the link. Returns none for a
  /// borrowed link, since the lender prepares the connection.
  [[nodiscard]] std::vector<LinkCommand> prepare(LinkId link, const SessionValues &values,
                                                 const PreparedShape *shape);
  /// Prepared-statement name for a shape, shared by all links of this proxy.
  [[nodiscard]] std::string preparedName(const PreparedShape &shape);
  void send(Context &ctx, LinkId link, std::vector<LinkCommand> commands);
  /// Returns a link to the pool. An open transaction is rolled back, and the link becomes idle once no
  /// replies are pending on it. A borrowed link is returned to its lender.
  void release(Context &ctx, LinkId link);
  /// Closes a link whose state is unknown.
  /// \param silent Whether the reason is that the server did not reply.
  void close(Context &ctx, LinkId link, bool silent);

  /// The proxy that lends the link; empty if this proxy opened the link itself or does not know it.
  [[nodiscard]] NodeId lenderOf(LinkId link) const;
  /// Links borrowed or requested from a proxy.
  [[nodiscard]] std::vector<LinkId> lentBy(const NodeId &lender) const;
  /// Returns a borrowed link to its lender if no session uses it.
  void returnUnused(Context &ctx, LinkId link);
  /// Records that the lender has queued the request until a connection is available.
  void onQueued(Context &ctx, LinkId link);
  /// Closes requests that have timed out without any reply from the lender, and returns those lenders.
  [[nodiscard]] std::vector<NodeId> abandonUnansweredRequests(Context &ctx);

  // Event handlers. Events for unknown links are ignored: they arrive late, after the link was closed.

  void onOpened(Context &ctx, LinkId link);
  struct Reply {
    LinkStep Step = LinkStep::Statement;
    LinkUser User;
    TargetId Target;
    DatabaseId Service;
    TimePoint SentAt;
    bool Last = false; ///< No other reply is pending on the link.
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
  void recordDuration(const TargetId &target, Duration value, TimePoint now) {
    Servers[target].Health.recordDuration(value, now);
  }
  [[nodiscard]] std::size_t open(const TargetId &target) const;
  [[nodiscard]] std::size_t busy(const TargetId &target) const;
  [[nodiscard]] std::size_t idle(const TargetId &target) const;
  /// Idle links that may run statements of a workspace.
  [[nodiscard]] std::size_t idle(const TargetId &target, const WorkspaceId &workspace) const;
  /// Whether a link may be opened now, in place of an idle one if the connection limit is reached.
  [[nodiscard]] bool mayOpen(const TargetId &target, TimePoint now) const;
  /// Links that are being opened for a workspace.
  [[nodiscard]] std::size_t opening(const TargetId &target, const WorkspaceId &workspace) const;
  /// Links of a workspace that are in use.
  [[nodiscard]] std::size_t busy(const TargetId &target, const WorkspaceId &workspace) const;
  [[nodiscard]] bool full(const TargetId &target, TimePoint now) const;
  /// Whether using one more link would exceed the server's current concurrency limit for this proxy.
  [[nodiscard]] bool atConcurrencyLimit(const TargetId &target) const;
  /// The server's current concurrency limit for this proxy, if it is restrained; else the highest limit.
  [[nodiscard]] int maxConcurrency(const TargetId &target) const;
  [[nodiscard]] std::optional<TargetId> targetOf(LinkId link) const;
  [[nodiscard]] std::size_t size() const { return Links.size(); }

  static constexpr Duration ReservationTime = 100ms;

private:
  enum class Phase : std::uint8_t { Opening, Idle, Busy };
  struct PendingReply {
    LinkStep Step;
    TimePoint SentAt;
    /// A read, whose duration and failure can be compared with those of reads at other servers.
    bool Comparable = false;
    /// For LinkStep::Prepare: takes effect on the record of the link once the server has confirmed it.
    std::optional<LinkCommand> Preparation{};
  };
  struct Link {
    TargetId Target;
    DatabaseId Service;
    WorkspaceId Workspace; ///< Named to the server when the link was opened; it cannot change.
    Phase State = Phase::Opening;
    TimePoint Since; ///< Start of the current phase, or of queueing at the lender.
    LinkUser User;
    bool InUse = false;
    TransactionState ServerState = TransactionState::Idle; ///< As of the last reply.
    // What this connection carries, as far as the server has confirmed it, whoever asked for it.
    SessionValues Values;
    std::set<std::string> Prepared; ///< Names of prepared statements.
    /// Some of it was set inside the transaction that is open.
    bool PreparedInTransaction = false;
    /// A transaction was rolled back in which some of it was set: it may be undone, and is discarded first.
    bool Uncertain = false;
    /// The server has refused a value, a prepared statement or a discard. The link is closed once it is
    /// released, since commands behind the refused one may depend on it.
    bool Unusable = false;
    std::deque<PendingReply> PendingReplies;
    bool Used = false; ///< A statement was sent on it.
    /// It was lent, and the borrower has not sent a command yet.
    bool GrantUnused = false;
    bool InReadOnlyTransaction = false; ///< As of the last BEGIN.
    NodeId Lender;                      ///< Empty unless the link is borrowed.
    bool Queued = false;                ///< The lender has confirmed that the request is queued.
    /// For a borrowed link: session values and prepared statement to send with the next commands.
    SessionValues NextValues;
    std::optional<PreparedShape> NextShape;
  };
  struct Server {
    std::set<LinkId> Links;
    std::size_t Opening = 0;
    std::size_t Idle = 0;
    std::size_t PendingLoanRequests = 0; ///< Loan requests not yet granted or refused.
    std::size_t PendingReplies = 0;      ///< Pending replies and opening attempts on own links.
    std::size_t LinksAwaitingReply = 0;  ///< Own links with at least one pending reply.
    std::size_t UnusedGrants = 0;        ///< Lent links on which no command was sent yet.
    DatabaseId Service;
    Duration RoundTrip{};                 ///< Network time that is part of the measured durations.
    ServerPace Pace;                      ///< Limits the links with pending replies.
    bool RestartPaceOnNextAnswer = false; ///< It is new or was suspect, and has not answered since.
    std::optional<TimePoint> FullAt;      ///< When the server last refused a connection as one too many.
    TimePoint RetryAt;                    ///< Earliest time to open a new link.
    std::optional<TimePoint> LostAt;      ///< Since when no link could be opened.
    TimePoint ReservedUntil;              ///< One idle link is kept for a primary change until then.
    ServerHealth Health;
  };

  /// The idle link of a server that needs the fewest commands before the session's statements.
  [[nodiscard]] std::optional<LinkId> bestIdleLink(const Server &server, const LinkUser &user,
                                                   const SessionValues &values) const;
  [[nodiscard]] std::size_t countLinks(const TargetId &target, const WorkspaceId &workspace,
                                       Phase state) const;
  /// Own links that count towards the concurrency limit.
  [[nodiscard]] static std::size_t inProgress(const Server &server);
  [[nodiscard]] PeerMeasure peersOf(const TargetId &target, const Server &server, TimePoint now) const;
  void adjustPace(Context &ctx, const TargetId &target, Server &server, const PendingReply &awaited,
                  const StatementOutcome &outcome);
  /// Adjusts the pace if a link is closed because the server does not reply.
  void recordSilence(Context &ctx, const Link &link);
  /// Records what the reply tells of the values and prepared statements that the link carries. ServerState is
  /// that of before the reply.
  static void recordPreparation(Context &ctx, Link &link, const PendingReply &awaited,
                                const LinkReplied &event);
  /// Records a reply or an opened link. A server that was suspect starts again.
  void recordAnswer(Context &ctx, const TargetId &target, Server &server);
  static void reportPace(Context &ctx, const TargetId &target, const Server &server, PaceChange change);
  /// Marks the servers that joined or restarted since the last call.
  void markStartedServers(const Catalog &catalog);
  void endUnusedGrant(Server &server, Link &link);
  /// Adds a link that is being opened, or requested from a lender.
  LinkId addLink(Context &ctx, Server &server, const TargetId &target, const DatabaseId &service,
                 const NodeId &lender, const WorkspaceId &workspace);
  /// Links of a workspace that are being opened, or, if borrowed, requested from a lender.
  [[nodiscard]] std::size_t pending(const Server &server, const WorkspaceId &workspace, bool borrowed) const;
  /// Closes the idle link of another workspace that was used least recently. Returns false if there is none.
  bool evictIdleLink(Context &ctx, Server &server, const WorkspaceId &workspace);
  void endLoan(Context &ctx, LinkId id, const Link &link, LoanEndReason why);
  void setPhase(Link &link, Phase next, TimePoint now);
  static void onOpenFailed(Context &ctx, const TargetId &target, Server &server, LinkFailure why);
  static void onOpenTimedOut(Context &ctx, const TargetId &target, Server &server);
  void scheduleSweep(TimePoint now);
  /// Links to close because a time limit has passed, and whether the server did not reply.
  [[nodiscard]] std::vector<std::pair<LinkId, bool>> overdueLinks(TimePoint now,
                                                                  const Catalog &catalog) const;
  void closeOverdue(Context &ctx, const Catalog &catalog, LinkId id, bool silent);
  void removeLink(Context &ctx, LinkId id, std::optional<LinkFailure> why, bool silent);
  [[nodiscard]] std::size_t maxOpenLinks(const Catalog &catalog, const DatabaseId &service,
                                         LinkPurpose purpose) const;
  [[nodiscard]] std::size_t maxIdleLinks(const Catalog &catalog, const TargetId &target) const;
  [[nodiscard]] Duration idleTimeout(const Catalog &catalog, const TargetId &target,
                                     const Server &server) const;

  std::map<LinkId, Link> Links;
  std::map<TargetId, Server> Servers;
  /// Servers in the catalog and the start that each reported. Not set until the catalog has been loaded.
  std::optional<std::map<TargetId, std::uint64_t>> ListedServers;
  std::uint64_t ListedAtChange = 0; ///< Change counter of the catalog that ListedServers is from.
  std::map<PreparedShape, std::string> PreparedNames;
  std::uint64_t LastNameNumber = 0;
  std::size_t Proxies = 1;
  std::size_t Zones = 1;
  std::optional<TimePoint> NextSweep;
};

} // namespace rosemaryhinge

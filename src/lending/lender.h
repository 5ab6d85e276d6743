// Lending of server connections to other proxies in the same availability zone.
//
// A loan lasts for one transaction or one statement outside a transaction. The borrower chooses the commands.
// The lender sets the session values and prepared statements on the connection, forwards commands and
// replies, and rolls back any open transaction when the loan ends.

#pragma once

#include "catalog/catalog.h"
#include "links/linkpool.h"
#include "protocol/context.h"
#include "protocol/loan.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace rosemaryhinge {

struct LendingServices {
  rosemaryhinge::Catalog &Catalog;
  LinkPool &Links;
};

class Lender {
public:
  void onRequest(Context &ctx, LendingServices &services, const NodeId &from, const LoanRequest &request);
  void onCommands(Context &ctx, LendingServices &services, const NodeId &from, const LoanCommands &commands);
  void onEnd(Context &ctx, LendingServices &services, const NodeId &from, const LoanEnd &end);
  /// Ends all loans and waiting requests of a proxy whose peer connection was lost, since it may have
  /// crashed.
  void onPeerLost(Context &ctx, LendingServices &services, const NodeId &node);
  /// Forwards a server's reply on a lent connection to the borrower.
  void onReply(Context &ctx, LendingServices &services, const LinkPool::Reply &reply,
               const LinkReplied &event);
  void onLinkClosed(Context &ctx, const LinkPool::Closed &closed);
  /// Grants waiting requests the links that have become idle. A leaving lender refuses them.
  void onCapacity(Context &ctx, LendingServices &services);
  void onTimer(Context &ctx, LendingServices &services);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const { return NextSweep; }

  /// Refuses new requests from now on, and with the next onCapacity() those that wait. Existing loans
  /// continue until they end.
  void startLeaving() { Leaving = true; }
  [[nodiscard]] std::size_t loans() const { return Loans.size(); }

  /// Maximum number of waiting requests. Further requests are refused.
  static constexpr std::size_t MaxWaiting = 1'000;

private:
  using Borrower = std::pair<NodeId, LoanId>;
  struct Loan {
    Borrower Of;
    LinkId Link;
    TimePoint ActiveAt; ///< Time of the last command or reply.
  };
  struct Request {
    TargetId Target;
    std::uint32_t Priority = 0;
    TimePoint ArrivedAt;
    WorkspaceId Workspace;
  };
  /// Sort key of the requests waiting for one server: priority, then arrival time.
  using QueueKey = std::tuple<std::uint32_t, TimePoint, Borrower>;

  /// A request that waits for a server, in the order in which requests are granted: by priority, then by the
  /// number of links that its workspace uses, then by arrival. A workspace with many requests does not hold
  /// up the others.
  struct Candidate {
    std::uint32_t Priority = 0;
    std::size_t Used = 0; ///< Links in use, with those for earlier requests of the workspace.
    TimePoint ArrivedAt;
    Borrower From;

    auto operator<=>(const Candidate &) const = default;
  };
  [[nodiscard]] std::vector<Candidate> grantOrder(const LinkPool &links, const TargetId &target,
                                                  const std::set<QueueKey> &queue) const;
  void grantWaiting(Context &ctx, LendingServices &services, const TargetId &target,
                    const std::set<QueueKey> &queue);
  /// Opens links for the requests that wait for a server, by workspace.
  void openForWaiting(Context &ctx, LendingServices &services, const TargetId &target,
                      const std::set<QueueKey> &queue) const;
  bool tryGrant(Context &ctx, LendingServices &services, const Borrower &borrower, const Request &request);
  void removeRequest(const Borrower &borrower);
  void refuseWaiting(Context &ctx);
  void endLoan(Context &ctx, LendingServices &services, std::uint64_t number, bool close);
  void sendLoanEnd(Context &ctx, const Borrower &borrower, LoanEndReason why);

  std::map<std::uint64_t, Loan> Loans; ///< Keyed by the lender's own loan number.
  std::map<Borrower, std::uint64_t> LoanNumbers;
  std::map<Borrower, Request> Requests;
  std::map<TargetId, std::set<QueueKey>> Waiting;
  std::optional<TimePoint> NextSweep;
  bool Leaving = false;
};

} // namespace rosemaryhinge

// Connections to servers that this proxy lends to others of its availability zone.
//
// A loan lasts for one transaction or single statement. The borrower decides what runs; the lender brings the
// session's values and prepared statements onto the connection, passes commands and answers on, and rolls
// back what is open when the loan ends.

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
  /// The borrower may have died: its loans end.
  void onPeerLost(Context &ctx, LendingServices &services, const NodeId &node);
  /// A server has answered on a lent connection.
  void onReply(Context &ctx, LendingServices &services, const LinkPool::Reply &reply,
               const LinkReplied &event);
  void onLinkClosed(Context &ctx, const LinkPool::Closed &closed);
  /// Lends what has become idle to the requests that wait.
  void onCapacity(Context &ctx, LendingServices &services);
  void onTimer(Context &ctx, LendingServices &services);
  [[nodiscard]] std::optional<TimePoint> nextTimer() const { return NextSweep; }

  /// Takes no requests any more; loans go on to their end.
  void startLeaving() { Leaving = true; }
  [[nodiscard]] std::size_t loans() const { return Loans.size(); }

  /// Bound on requests that wait; more are refused.
  static constexpr std::size_t MaxWaiting = 1'000;

private:
  using Borrower = std::pair<NodeId, LoanId>;
  struct Loan {
    Borrower Of;
    LinkId Link;
    TimePoint ActiveAt; ///< Last command or answer.
  };
  struct Request {
    TargetId Target;
    std::uint32_t Priority = 0;
    TimePoint ArrivedAt;
  };
  /// Order of service at one server: priority, then arrival.
  using QueueKey = std::tuple<std::uint32_t, TimePoint, Borrower>;

  bool tryGrant(Context &ctx, LendingServices &services, const Borrower &borrower, const Request &request);
  void removeRequest(const Borrower &borrower);
  void endLoan(Context &ctx, LendingServices &services, std::uint64_t number, bool close);
  void sendLoanEnd(Context &ctx, const Borrower &borrower, LoanEndReason why);

  std::map<std::uint64_t, Loan> Loans; ///< By the lender's own number.
  std::map<Borrower, std::uint64_t> LoanNumbers;
  std::map<Borrower, Request> Requests;
  std::map<TargetId, std::set<QueueKey>> Waiting;
  std::optional<TimePoint> NextSweep;
  bool Leaving = false;
};

} // namespace rosemaryhinge

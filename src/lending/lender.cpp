// Lender side of connection loans.

#include "lending/lender.h"

#include <algorithm>
#include <span>

namespace rosemaryhinge {

namespace {

constexpr Duration SweepInterval = 200ms;
/// Requests of a queue for which links are opened in one pass.
constexpr std::size_t MaxRequestsWithNewLinks = 16;
/// Borrowers repeat a request that has waited this long, so older ones are dropped.
constexpr Duration MaxRequestAge = 1s;
/// Longer than the longest allowed pause within a transaction. Reclaims loans of borrowers that were
/// disconnected.
constexpr Duration LoanIdleTimeout = 8s;

} // namespace

void Lender::sendLoanEnd(Context &ctx, const Borrower &borrower, LoanEndReason why) {
  ctx.emit(SendToPeer{borrower.first, LoanEnd{borrower.second, why}});
}

void Lender::onRequest(Context &ctx, LendingServices &services, const NodeId &from,
                       const LoanRequest &request) {
  const Borrower borrower{from, request.Loan};
  const auto *view = services.Catalog.server(request.Target);
  if (Leaving || !view || Requests.size() >= MaxWaiting || LoanNumbers.contains(borrower)) {
    sendLoanEnd(ctx, borrower, LoanEndReason::Refused);
    return;
  }
  if (services.Links.health(request.Target).suspect(ctx.Now)) {
    // Opening a link succeeds once the server has recovered, which clears the suspect state.
    services.Links.openLinks(ctx, services.Catalog, request.Target, 1);
    sendLoanEnd(ctx, borrower, LoanEndReason::Silent);
    return;
  }
  const Request one{request.Target, request.Priority, ctx.Now, request.Workspace};
  if (!NextSweep)
    NextSweep = ctx.Now + SweepInterval;
  auto &queue = Waiting[request.Target];
  const bool first = std::none_of(queue.begin(), queue.end(), [&](const QueueKey &it) {
    return Requests.at(std::get<Borrower>(it)).Workspace == one.Workspace;
  });
  if (first && tryGrant(ctx, services, borrower, one))
    return;
  Requests[borrower] = one;
  queue.insert({one.Priority, one.ArrivedAt, borrower});
  openForWaiting(ctx, services, request.Target, queue);
  ctx.emit(SendToPeer{from, LoanQueued{request.Loan}});
}

bool Lender::tryGrant(Context &ctx, LendingServices &services, const Borrower &borrower,
                      const Request &request) {
  const auto number = ctx.nextNumber();
  const auto link =
      services.Links.acquire(request.Target, {SessionId(), false, number, request.Workspace}, {}, ctx.Now);
  if (!link)
    return false;
  Loans[number] = {borrower, *link, ctx.Now};
  LoanNumbers[borrower] = number;
  ctx.emit(Count{"loans_granted_total"});
  ctx.emit(SendToPeer{borrower.first, LoanGrant{borrower.second}});
  return true;
}

void Lender::onCapacity(Context &ctx, LendingServices &services) {
  if (Leaving) {
    refuseWaiting(ctx);
    return;
  }
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    auto &queue = it->second;
    grantWaiting(ctx, services, it->first, queue);
    if (!queue.empty())
      openForWaiting(ctx, services, it->first, queue);
    it = queue.empty() ? Waiting.erase(it) : std::next(it);
  }
}

std::vector<Lender::Candidate> Lender::grantOrder(const LinkPool &links, const TargetId &target,
                                                  const std::set<QueueKey> &queue) const {
  std::map<WorkspaceId, std::size_t> used;
  std::vector<Candidate> out;
  out.reserve(queue.size());
  for (const auto &[priority, arrivedAt, borrower] : queue) {
    const auto &workspace = Requests.at(borrower).Workspace;
    const auto [it, added] = used.try_emplace(workspace, 0);
    if (added && !workspace.empty())
      it->second = links.busy(target, workspace);
    out.push_back({priority, it->second, arrivedAt, borrower});
    // A further request of the workspace counts as if those before it had been granted.
    if (!workspace.empty())
      ++it->second;
  }
  std::sort(out.begin(), out.end());
  return out;
}

void Lender::grantWaiting(Context &ctx, LendingServices &services, const TargetId &target,
                          const std::set<QueueKey> &queue) {
  std::set<WorkspaceId> exhausted;
  std::optional<Candidate> blocked;
  for (const auto &it : grantOrder(services.Links, target, queue)) {
    const auto request = Requests.at(it.From);
    // The last idle link is not given to a request of lower rank: it is to be closed, so that a link can be
    // opened for the workspace that is blocked.
    const bool wouldOvertake = blocked && services.Links.idle(target) <= 1 &&
                               (it.Priority > blocked->Priority || it.Used > blocked->Used + 1);
    if (wouldOvertake || exhausted.contains(request.Workspace))
      continue;
    if (tryGrant(ctx, services, it.From, request)) {
      removeRequest(it.From);
      continue;
    }
    exhausted.insert(request.Workspace);
    if (!blocked && services.Links.opening(target, request.Workspace) == 0 &&
        services.Links.mayOpen(target, ctx.Now))
      blocked = it;
  }
}

void Lender::openForWaiting(Context &ctx, LendingServices &services, const TargetId &target,
                            const std::set<QueueKey> &queue) const {
  if (!services.Catalog.configuration().Workspaces) {
    services.Links.openLinks(ctx, services.Catalog, target, queue.size());
    return;
  }
  std::map<WorkspaceId, std::size_t> wanted;
  const auto order = grantOrder(services.Links, target, queue);
  for (const auto &it : std::span(order).first(std::min(order.size(), MaxRequestsWithNewLinks))) {
    const auto &workspace = Requests.at(it.From).Workspace;
    services.Links.openLinks(ctx, services.Catalog, target, ++wanted[workspace], LinkPurpose::Statements,
                             workspace);
  }
}

void Lender::refuseWaiting(Context &ctx) {
  for (const auto &[borrower, request] : Requests)
    sendLoanEnd(ctx, borrower, LoanEndReason::Refused);
  Requests.clear();
  Waiting.clear();
}

void Lender::removeRequest(const Borrower &borrower) {
  const auto it = Requests.find(borrower);
  if (it == Requests.end())
    return;
  if (const auto queue = Waiting.find(it->second.Target); queue != Waiting.end())
    queue->second.erase({it->second.Priority, it->second.ArrivedAt, borrower});
  Requests.erase(it);
}

void Lender::onCommands(Context &ctx, LendingServices &services, const NodeId &from,
                        const LoanCommands &commands) {
  const Borrower borrower{from, commands.Loan};
  const auto number = LoanNumbers.find(borrower);
  if (number == LoanNumbers.end()) {
    sendLoanEnd(ctx, borrower, LoanEndReason::Lost);
    return;
  }
  auto &loan = Loans.at(number->second);
  loan.ActiveAt = ctx.Now;
  const auto *shape = commands.Shape ? &*commands.Shape : nullptr;
  auto all = services.Links.prepare(loan.Link, commands.Values, shape);
  for (const auto &it : commands.Commands) {
    all.push_back(it);
    auto *run = std::get_if<RunStatement>(&all.back());
    if (auto *execute = run ? std::get_if<ExecuteStatement>(&run->Body) : nullptr; execute && shape)
      execute->Name = services.Links.preparedName(*shape);
  }
  services.Links.send(ctx, loan.Link, std::move(all));
}

void Lender::onReply(Context &ctx, LendingServices &services, const LinkPool::Reply &reply,
                     const LinkReplied &event) {
  const auto it = Loans.find(reply.User.Loan);
  if (it == Loans.end())
    return;
  it->second.ActiveAt = ctx.Now;
  if (reply.Step == LinkStep::Prepare) {
    if (!std::holds_alternative<StatementRejection>(event.Outcome))
      return;
    // The server rejected a session value or prepared statement, so commands already sent on this connection
    // run without the session state they need.
    sendLoanEnd(ctx, it->second.Of, LoanEndReason::Lost);
    endLoan(ctx, services, it->first, true);
    return;
  }
  ctx.emit(
      SendToPeer{it->second.Of.first, LoanReply{it->second.Of.second, event.Outcome, event.State, event.At}});
}

void Lender::onLinkClosed(Context &ctx, const LinkPool::Closed &closed) {
  const auto it = Loans.find(closed.User.Loan);
  if (it == Loans.end())
    return;
  sendLoanEnd(ctx, it->second.Of, LoanEndReason::Lost);
  LoanNumbers.erase(it->second.Of);
  Loans.erase(it);
}

void Lender::onEnd(Context &ctx, LendingServices &services, const NodeId &from, const LoanEnd &end) {
  const Borrower borrower{from, end.Loan};
  removeRequest(borrower);
  if (const auto it = LoanNumbers.find(borrower); it != LoanNumbers.end())
    endLoan(ctx, services, it->second, end.Why == LoanEndReason::Doubtful);
}

void Lender::endLoan(Context &ctx, LendingServices &services, std::uint64_t number, bool close) {
  const auto it = Loans.find(number);
  const auto link = it->second.Link;
  LoanNumbers.erase(it->second.Of);
  Loans.erase(it);
  if (close)
    services.Links.close(ctx, link, true);
  else
    services.Links.release(ctx, link);
}

void Lender::onPeerLost(Context &ctx, LendingServices &services, const NodeId &node) {
  std::vector<Borrower> requests;
  for (const auto &[borrower, request] : Requests)
    if (borrower.first == node)
      requests.push_back(borrower);
  for (const auto &it : requests)
    removeRequest(it);
  std::vector<std::uint64_t> numbers;
  for (const auto &[number, loan] : Loans)
    if (loan.Of.first == node)
      numbers.push_back(number);
  for (const auto &it : numbers) {
    // The borrower may still be running if only the peer connection was lost, so notify it.
    sendLoanEnd(ctx, Loans.at(it).Of, LoanEndReason::Lost);
    endLoan(ctx, services, it, false);
  }
}

void Lender::onTimer(Context &ctx, LendingServices &services) {
  if (!NextSweep || ctx.Now < *NextSweep)
    return;
  std::vector<Borrower> old;
  for (const auto &[borrower, request] : Requests)
    if (ctx.Now - request.ArrivedAt >= MaxRequestAge)
      old.push_back(borrower);
  for (const auto &it : old)
    removeRequest(it);
  std::vector<std::uint64_t> idle;
  for (const auto &[number, loan] : Loans)
    if (ctx.Now - loan.ActiveAt >= LoanIdleTimeout)
      idle.push_back(number);
  for (const auto &it : idle) {
    ctx.emit(Count{"loans_abandoned_total"});
    sendLoanEnd(ctx, Loans.at(it).Of, LoanEndReason::Lost);
    endLoan(ctx, services, it, true);
  }
  NextSweep = Loans.empty() && Requests.empty() ? std::nullopt : std::optional(ctx.Now + SweepInterval);
}

} // namespace rosemaryhinge

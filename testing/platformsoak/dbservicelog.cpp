// A service: commits, replication and promotions.

#include "platformsoak/dbservice.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis ReplicationTickMs = 1;
/// A commit that no replica has received by then gets an error.
constexpr Millis CommitTimeoutMs = 3'000;
constexpr int Fenced = 409;
constexpr int NoAnswer = 0;

} // namespace

std::uint64_t DbService::applied(const DbServer &server) const {
  if (server.Leads)
    return server.Log.end();
  return std::max(server.Log.endAt(nowMs() - Options.ReplicaLagMs), server.TermStart);
}

std::string DbService::positionOf(const DbServer &server) const {
  return positionText(orderedPosition(server.Term, server.Log.end()));
}

std::string DbService::valueAt(const std::string &item, const DbServer &server) const {
  const auto versions = Versions.find(item);
  if (versions == Versions.end())
    return "none";
  const auto until = applied(server);
  for (auto it = versions->second.rbegin(); it != versions->second.rend(); ++it)
    if (it->Commit->Number <= until && server.Log.contains(*it->Commit))
      return it->Value;
  return "none";
}

bool DbService::leads(const DbServer &server, std::uint64_t term) const {
  return server.Up && server.Leads && server.Term == term;
}

bool DbService::isReceived(const DbServer &by, const LoggedCommit &commit) const {
  return std::any_of(Servers.begin(), Servers.end(),
                     [&](const auto &it) { return it.get() != &by && it->Log.contains(commit); });
}

CommitRef DbService::append(DbServer &server, const std::string &statement, std::vector<LoggedWrite> writes) {
  auto out = std::make_shared<LoggedCommit>();
  out->Term = server.Term;
  out->Number = server.Log.end() + 1;
  out->At = nowMs();
  out->Statement = statement;
  server.Log.append(out);
  Commits.push_back(out);
  Seen.addCommit(statement, out->position());
  for (auto &it : writes) {
    if (it.Statement != statement)
      Seen.addCommit(it.Statement, out->position());
    Versions[it.Item].push_back({out, std::move(it.Value)});
  }
  return out;
}

bool DbService::commit(DbServer &server, std::uint64_t term, const std::string &statement,
                       std::vector<LoggedWrite> writes) {
  std::unique_lock hold(Lock);
  if (!leads(server, term))
    return false;
  const auto commit = append(server, statement, std::move(writes));
  Received.wait_for(hold, std::chrono::milliseconds(CommitTimeoutMs),
                    [&] { return !leads(server, term) || isReceived(server, *commit); });
  if (!leads(server, term) || !isReceived(server, *commit))
    return false;
  commit->AcknowledgedAt = nowMs();
  return true;
}

void DbService::replicate() {
  for (;; sleepMs(ReplicationTickMs)) {
    const std::lock_guard hold(Lock);
    const auto primary =
        std::find_if(Servers.begin(), Servers.end(), [](const auto &it) { return it->Up && it->Leads; });
    if (primary == Servers.end())
      continue;
    bool received = false;
    for (const auto &it : Servers)
      received = receive(*it, **primary) || received;
    if (received)
      Received.notify_all();
  }
}

bool DbService::receive(DbServer &replica, const DbServer &primary) {
  if (&replica == &primary || !replica.Up || replica.HeldTerm > 0 || replica.CutOffUntil > nowMs())
    return false;
  const auto until = std::max(primary.Log.endAt(nowMs() - replica.LagMs), primary.TermStart);
  if (replica.Term != primary.Term) {
    replica.Log.replaceBy(primary.Log, until);
    replica.Term = primary.Term;
    replica.TermStart = primary.TermStart;
    return true;
  }
  if (until <= replica.Log.end())
    return false;
  replica.Log.receive(primary.Log, until);
  return true;
}

void DbService::delayOrders(Millis ms) {
  const std::lock_guard hold(Lock);
  OrdersLateUntil = nowMs() + ms;
}

Millis DbService::orderDelay() {
  const std::lock_guard hold(Lock);
  const bool late = OrdersLateUntil > nowMs() && std::bernoulli_distribution(Options.LateShare)(Random);
  return late ? std::uniform_int_distribution<Millis>(Options.LeastLateMs, Options.MostLateMs)(Random) : 0;
}

int DbService::promote(const PromotionOrder &order) {
  const auto delay = orderDelay();
  if (delay == 0)
    return carryOut(order);
  std::thread([this, order, delay] {
    sleepMs(delay);
    Seen.line("late order to promote " + order.Id + ", token " + std::to_string(order.Token) + ": " +
              std::to_string(carryOut(order)));
  }).detach();
  return NoAnswer;
}

int DbService::carryOut(const PromotionOrder &order) {
  const std::lock_guard hold(Lock);
  if (order.Token < LastToken)
    return Fenced;
  LastToken = order.Token;
  for (const auto &it : Servers) {
    if (it->Id != order.Id || !it->Up)
      continue;
    if (!it->Leads)
      std::thread([this, server = it.get(), order] { leadAfterPromotion(*server, order); }).detach();
    return 200;
  }
  return Fenced;
}

void DbService::leadAfterPromotion(DbServer &server, const PromotionOrder &order) {
  sleepMs(Options.PromoteMs);
  std::string position;
  {
    const std::lock_guard hold(Lock);
    if (!server.Up || server.Leads)
      return;
    position = positionOf(server);
    Seen.addPromotion(rollBack(server, order));
    lead(server);
  }
  Received.notify_all();
  Seen.line("server " + server.Id + " of " + Options.Name + " leads, with " + position);
  std::vector<DbServer *> live;
  {
    const std::lock_guard hold(Lock);
    for (const auto &it : Servers)
      if (it->Up)
        live.push_back(it.get());
  }
  for (auto *it : live)
    beat(*it);
}

Promotion DbService::rollBack(const DbServer &promoted, const PromotionOrder &order) {
  Promotion out{Options.Name, promoted.Id, order.Holder, order.Token, nowMs(), positionOf(promoted), {}};
  for (const auto &commit : Commits) {
    if (commit->RolledBack || promoted.Log.contains(*commit))
      continue;
    commit->RolledBack = true;
    if (!commit->AcknowledgedAt)
      continue;
    MissingCommit missing{
        commit->Statement, positionText(commit->position()), *commit->AcknowledgedAt, {}, {}};
    for (const auto &it : Servers) {
      if (!it->Log.contains(*commit))
        continue;
      missing.Holders.push_back(it->Id);
      if (it->Up && it->Listed)
        missing.RunningHolders.push_back(it->Id);
    }
    out.Missing.push_back(std::move(missing));
  }
  return out;
}

void DbService::lead(DbServer &server) {
  std::uint64_t term = 0;
  for (const auto &it : Servers)
    term = std::max(term, it->Term);
  server.Term = term + 1;
  server.TermStart = server.Log.end();
  // A cut lies between the former primary and a replica.
  const auto cutUntil = std::exchange(server.CutOffUntil, 0);
  for (const auto &it : Servers) {
    it->CutOffUntil = it->Leads ? cutUntil : 0;
    it->Leads = it.get() == &server;
    if (it->HeldTerm <= server.Term)
      it->HeldTerm = 0;
  }
  for (const auto &it : Servers)
    receive(*it, server);
}

std::uint64_t DbService::acknowledgedBefore(Millis at) {
  const std::lock_guard hold(Lock);
  for (auto it = Commits.rbegin(); it != Commits.rend(); ++it)
    if (!(*it)->RolledBack && (*it)->AcknowledgedAt && *(*it)->AcknowledgedAt < at)
      return (*it)->position();
  return 0;
}

} // namespace rosemaryhinge::platformsoak

// Simulated database servers of one service.

#include "sessionworld/dbcluster.h"

#include "base/overloaded.h"

#include <algorithm>

namespace rosemaryhinge::sessionworld {

namespace {

constexpr Duration TickInterval = 10ms;
constexpr std::size_t ServerCount = 3;

StatementOutcome done() { return StatementResultRows{{}, "signed"}; }
std::string toString(Position it) { return std::to_string(it.Term) + "." + std::to_string(it.Lsn); }
StatementOutcome rejected(Rejection code) { return StatementRejection{code, ""}; }

} // namespace

void DbServer::append(LogEntry entry) {
  Writes.insert(entry.Write);
  Log.push_back(std::move(entry));
}

void DbServer::follow(std::span<const LogEntry> source) {
  const bool prefix =
      Log.size() <= source.size() && (Log.empty() || Log.back().At == source[Log.size() - 1].At);
  if (!prefix) {
    Log.clear();
    Writes.clear();
  }
  for (std::size_t n = Log.size(); n < source.size(); ++n)
    append(source[n]);
}

DbCluster::DbCluster(fakes::EventQueue &queue, bool fencing) : Queue(queue), Fencing(fencing) {
  for (std::size_t n = 0; n < ServerCount; ++n) {
    DbServer server;
    server.Id = TargetId("s" + std::to_string(n));
    server.Address = "10.0.0." + std::to_string(n + 1) + ":5000";
    server.Role = n == 0 ? TargetRole::Primary : TargetRole::Replica;
    Servers.push_back(std::move(server));
  }
  Queue.after(TickInterval, [this] { tick(); });
}

DbServer *DbCluster::find(const TargetId &target) {
  const auto it =
      std::find_if(Servers.begin(), Servers.end(), [&](const DbServer &one) { return one.Id == target; });
  return it == Servers.end() ? nullptr : &*it;
}

std::size_t DbCluster::leader() const {
  std::size_t best = 0;
  for (std::size_t n = 0; n < Servers.size(); ++n)
    if (Servers[n].Role == TargetRole::Primary &&
        (Servers[best].Role != TargetRole::Primary || Servers[n].CurrentTerm > Servers[best].CurrentTerm))
      best = n;
  return best;
}

bool DbCluster::reachable(const DbServer &a, const DbServer &b) const {
  return a.Up && b.Up && !Cuts.contains(std::minmax(indexOf(a), indexOf(b)));
}

void DbCluster::cut(std::size_t a, std::size_t b, bool on) {
  if (on)
    Cuts.insert(std::minmax(a, b));
  else
    Cuts.erase(std::minmax(a, b));
}

void DbCluster::crash(std::size_t index) {
  auto &server = Servers[index];
  server.Up = false;
  server.PausedFor = 0;
  std::erase_if(Pending, [&](const PendingCommit &it) { return it.Primary == server.Id; });
}

void DbCluster::terminate(std::size_t index) {
  crash(index);
  auto &server = Servers[index];
  server.Log.clear();
  server.Writes.clear();
  server.FirstTerm = 0;
  server.CurrentTerm = 0;
  server.Role = TargetRole::Replica;
  server.ReachesLeaderSince.reset();
}

std::size_t DbCluster::join(TargetId id, Duration replicationLag) {
  DbServer server;
  server.Id = std::move(id);
  server.Address = "10.0.0." + std::to_string(Servers.size() + 1) + ":5000";
  server.Listed = false;
  server.CurrentTerm = 0;
  server.FirstTerm = 0;
  server.ReplicationLag = replicationLag;
  Servers.push_back(std::move(server));
  return Servers.size() - 1;
}

bool DbCluster::replaceable(std::size_t index) const {
  return std::none_of(Acknowledged.begin(), Acknowledged.end(), [&](const std::string &write) {
    return Servers[index].holds(write) &&
           std::none_of(Servers.begin(), Servers.end(),
                        [&](const DbServer &it) { return &it != &Servers[index] && it.holds(write); });
  });
}

void DbCluster::start(std::size_t index, TargetId id) {
  auto &server = Servers[index];
  server.Up = true;
  ++server.Starts;
  server.Leaving = server.Draining;
  server.Id = std::move(id);
  if (const auto &newest = Servers[leader()]; newest.CurrentTerm > server.CurrentTerm)
    demote(server);
  OnEntryChanged();
}

void DbCluster::demote(DbServer &server) {
  server.Role = TargetRole::Replica;
  server.ReachesLeaderSince.reset();
  std::erase_if(Pending, [&](const PendingCommit &it) { return it.Primary == server.Id; });
  OnEntryChanged();
}

void DbCluster::tick() {
  const auto newest = leader();
  for (auto &it : Servers) {
    const auto &lead = Servers[newest];
    if (!it.Up || &it == &lead)
      continue;
    if (it.Role == TargetRole::Replica) {
      replicate(it);
      continue;
    }
    if (!reachable(it, lead))
      it.ReachesLeaderSince.reset();
    else if (!it.ReachesLeaderSince)
      it.ReachesLeaderSince = Queue.now();
    else if (Queue.now() - *it.ReachesLeaderSince >= DemotionDelay)
      demote(it);
  }
  acknowledge();
  Queue.after(TickInterval, [this] { tick(); });
}

void DbCluster::replicate(DbServer &replica) {
  if (replica.PausedFor > 0 || replica.Stalled)
    return;
  const DbServer *source = nullptr;
  for (const auto &it : Servers)
    if (it.Role == TargetRole::Primary && reachable(it, replica) && it.CurrentTerm >= replica.CurrentTerm &&
        (!source || it.CurrentTerm > source->CurrentTerm))
      source = &it;
  if (!source)
    return;
  replica.CurrentTerm = source->CurrentTerm;
  const auto sentBefore = Queue.now() - replica.ReplicationLag;
  const auto end = std::upper_bound(source->Log.begin(), source->Log.end(), sentBefore,
                                    [](TimePoint at, const LogEntry &it) { return at < it.AppendedAt; });
  const std::span<const LogEntry> received(source->Log.begin(), end);
  const bool same = received.size() <= replica.Log.size() && !received.empty() &&
                    replica.Log[received.size() - 1].At == received.back().At;
  if (!same)
    replica.follow(received);
}

void DbCluster::acknowledge() {
  for (auto it = Pending.begin(); it != Pending.end();) {
    const auto *primary = find(it->Primary);
    const bool leads = primary && primary->Up && primary->Role == TargetRole::Primary;
    const bool received = std::any_of(Servers.begin(), Servers.end(), [&](const DbServer &one) {
      return one.Role == TargetRole::Replica && one.holds(it->Write);
    });
    if (!leads || !received) {
      ++it;
      continue;
    }
    if (Servers[leader()].CurrentTerm > primary->CurrentTerm)
      Violations.push_back("a former primary acknowledged " + it->Write);
    else
      AcknowledgedByServers.insert(it->Write);
    it->Answer({it->Link, done(), TransactionState::Idle, it->At, std::nullopt});
    it = Pending.erase(it);
  }
}

std::set<LinkId> DbCluster::waitingLinks(const TargetId &target) const {
  std::set<LinkId> out;
  for (const auto &it : Pending)
    if (it.Primary == target)
      out.insert(it.Link);
  return out;
}

void DbCluster::commit(DbServer &server, LinkId link, const std::string &write, const Reply &reply) {
  if (server.holds(write))
    Violations.push_back("write " + write + " took effect twice");
  const Position at{server.CurrentTerm, server.end().Lsn + 1};
  server.append({at, write, Queue.now()});
  Positions[write] = at;
  Pending.push_back({server.Id, at, write, link, reply});
}

void DbCluster::execute(const TargetId &target, LinkId link, const LinkCommand &command, const Reply &reply) {
  auto *server = find(target);
  if (!server || !server->Up)
    return;
  const bool leads = server->Role == TargetRole::Primary;
  const auto answer = [&](StatementOutcome outcome, TransactionState state, bool status = false) {
    const auto end = server->end();
    LinkReplied out{link, std::move(outcome), state, leads ? Position{server->CurrentTerm, end.Lsn} : end,
                    std::nullopt};
    if (status)
      out.Status = TargetStatus{server->Role,         std::max(server->CurrentTerm, server->PausedFor),
                                server->end(),        {},
                                server->Leaving,      {},
                                server->PausedFor > 0};
    reply(std::move(out));
  };
  std::visit(Overloaded{
                 [&](const BeginTransaction &it) {
                   if (!it.ReadOnly && !leads) {
                     answer(rejected(Rejection::ReadOnly), TransactionState::Idle);
                     return;
                   }
                   OpenTransactions[link] = !it.ReadOnly;
                   answer(done(), TransactionState::Open);
                 },
                 [&](const RollbackTransaction &) {
                   OpenTransactions.erase(link);
                   answer(done(), TransactionState::Idle);
                 },
                 [&](const RunStatement &it) {
                   const auto open = OpenTransactions.find(link);
                   const bool write = it.StatementId.front() == 'w';
                   if ((write || (open != OpenTransactions.end() && open->second)) && !leads)
                     answer(rejected(Rejection::ReadOnly), TransactionState::Failed);
                   else if (write)
                     commit(*server, link, it.StatementId, reply);
                   else if (it.After && server->end() < *it.After)
                     answer(rejected(Rejection::Lagging), TransactionState::Idle);
                   else
                     answer(done(),
                            open == OpenTransactions.end() ? TransactionState::Idle : TransactionState::Open);
                 },
                 [&](const PauseReplica &it) {
                   if (!leads && it.Term > std::max(server->CurrentTerm, server->PausedFor)) {
                     server->PausedFor = it.Term;
                     answer(done(), TransactionState::Idle, true);
                   } else {
                     answer(rejected(Rejection::Failed), TransactionState::Idle);
                   }
                 },
                 [&](const ResumeReplica &) {
                   server->PausedFor = 0;
                   answer(done(), TransactionState::Idle, true);
                 },
                 [&](const StepDownPrimary &it) {
                   if (server->Role == TargetRole::Primary && it.Term > server->CurrentTerm)
                     demote(*server);
                   answer(done(), TransactionState::Idle, true);
                 },
                 [&](const ReadServerStatus &) { answer(done(), TransactionState::Idle, true); },
                 [&](const auto &) { answer(done(), TransactionState::Idle); },
             },
             command);
}

bool DbCluster::promote(const TargetId &target, std::uint64_t token) {
  if (Fencing && token < HighestToken)
    return false;
  HighestToken = std::max(HighestToken, token);
  const auto *server = find(target);
  if (!server || !server->Up)
    return false;
  if (server->Role != TargetRole::Primary)
    Queue.after(PromoteTime, [this, target] {
      if (auto *it = find(target); it && it->Up && it->Role != TargetRole::Primary)
        takeLead(*it);
    });
  return true;
}

std::string DbCluster::describe() const {
  std::string out;
  for (const auto &it : Servers)
    if (it.Up || !it.Log.empty())
      out += it.Id.str() + (it.Up ? "" : " down") + (it.Role == TargetRole::Primary ? " primary" : "") +
             (it.Leaving ? " leaving" : "") + (it.Listed ? "" : " unlisted") + " term " +
             std::to_string(it.CurrentTerm) + " paused " + std::to_string(it.PausedFor) + " log " +
             toString(it.end()) + "; ";
  return out;
}

bool DbCluster::heldByRunning(const std::string &write) const {
  return std::any_of(Servers.begin(), Servers.end(),
                     [&](const DbServer &it) { return it.Up && it.Listed && it.holds(write); });
}

std::vector<Position> DbCluster::checkAcknowledged(const DbServer &server) {
  // Later promotions have nothing to decide on a write that this one rolls back.
  std::erase_if(AcknowledgedByServers, [&](const std::string &write) {
    if (server.holds(write))
      return false;
    if (heldByRunning(write))
      LostAtServers.insert(write);
    return true;
  });
  std::vector<Position> out;
  for (const auto &write : Acknowledged)
    if (!server.holds(write)) {
      if (Lost.insert(write).second)
        out.push_back(Positions[write]);
      Violations.push_back("acknowledged write " + write + " is not at the promoted server " +
                           server.Id.str());
    }
  return out;
}

void DbCluster::takeLead(DbServer &server) {
  std::string lost;
  const auto positions = checkAcknowledged(server);
  for (const auto &it : positions)
    lost += " " + toString(it);
  OnTrace(server.Id.str() + " is promoted, " + std::to_string(positions.size()) +
          " acknowledged writes are lost" + lost + ", " + std::to_string(LostAtServers.size()) +
          " so far that servers acknowledged; " + describe());
  Term newest = 0;
  for (auto &it : Servers) {
    newest = std::max(newest, it.CurrentTerm);
    it.PausedFor = 0;
  }
  for (auto &it : Servers)
    if (Fencing && &it != &server && it.Role == TargetRole::Primary)
      demote(it);
  server.Role = TargetRole::Primary;
  server.CurrentTerm = newest + 1;
  for (auto &it : Servers)
    if (it.Role == TargetRole::Replica && !it.Stalled && reachable(it, server))
      it.CurrentTerm = server.CurrentTerm;
  OnEntryChanged();
}

} // namespace rosemaryhinge::sessionworld

// Model of one service for tests of changes of primary: its servers with their logs, the claim object of the
// store, and the platform that carries out promotions. It answers the effects of one proxy.

#pragma once

#include "reducer/tests/sessionharness.h"

#include <map>
#include <set>

namespace rosemaryhinge {

class ServiceModel {
public:
  struct Server {
    TargetRole Role = TargetRole::Replica;
    Position Log{1, 10};
    Term RaisedTerm = 1;
    bool Paused = false;
    bool Stalled = false;     ///< The network delays what it receives from the primary.
    bool ReachesProxy = true; ///< Otherwise it refuses the proxy's connections.
  };

  /// The primary p and the replicas a and b, with equal logs.
  ServiceModel() {
    Servers["p"].Role = TargetRole::Primary;
    Servers["a"] = {};
    Servers["b"] = {};
  }

  /// Adds a commit to the log of the primary. Each replica that is neither paused nor stalled receives it,
  /// and it is acknowledged if there is one. A primary that only the proxy has lost serves others.
  bool commit() {
    if (primary().empty())
      return false;
    auto &leader = Servers.at(primary());
    leader.Log = {leader.RaisedTerm, leader.Log.Lsn + 1};
    bool received = false;
    for (auto &[name, it] : Servers) {
      if (it.Role != TargetRole::Replica || it.Paused || it.Stalled)
        continue;
      it.Log = leader.Log;
      received = true;
    }
    if (received)
      Acknowledged = leader.Log;
    return received;
  }

  /// Adds a replica that has the log of the primary, and lists it.
  void join(const std::string &name) {
    auto &server = Servers[name];
    if (const auto leader = Servers.find(primary()); leader != Servers.end()) {
      server.Log = leader->second.Log;
      server.RaisedTerm = leader->second.RaisedTerm;
    }
    Changes.push_back(SessionHarness::server(name, TargetRole::Replica, ++Revision));
  }

  /// A server ends together with its log, and its entry is removed.
  /// \param announced Whether its entry was marked as leaving before.
  void end(SessionHarness &proxy, const std::string &name, bool announced) {
    if (announced) {
      Changes.push_back(SessionHarness::server(name, TargetRole::Replica, ++Revision, true));
      play(proxy, Step);
    }
    Servers.erase(name);
    for (const auto &link : std::exchange(Links[name], {}))
      proxy.apply(LinkClosed{link, LinkFailure::Lost});
    auto entry = SessionHarness::server(name, TargetRole::Replica, ++Revision, announced);
    entry.Deleted = true;
    Changes.push_back(entry);
  }

  /// The entry of a server lapses while the server goes on.
  void unlist(const std::string &name) {
    auto entry = SessionHarness::server(name, Servers.at(name).Role, ++Revision);
    entry.Deleted = true;
    Changes.push_back(entry);
  }

  /// A server starts again with its log, which ends its pause and closes the proxy's links to it.
  void restart(SessionHarness &proxy, const std::string &name) {
    Servers.at(name).Paused = false;
    for (const auto &link : std::exchange(Links[name], {}))
      proxy.apply(LinkClosed{link, LinkFailure::Lost});
  }

  /// Answers the proxy for this long, in steps of 20 ms.
  void play(SessionHarness &proxy, Duration time) {
    const auto end = proxy.Now + time;
    proxy.HoldRefresh = true;
    while (proxy.Now < end) {
      answer(proxy);
      proxy.pass(Step);
      carryOutPromotions(proxy);
    }
  }

  /// Plays with a caller's write that waits until the proxy orders a promotion, at most for a time.
  std::optional<PromotionCall> awaitOrder(SessionHarness &proxy, Duration limit) {
    const auto orders = Orders.size();
    const auto end = proxy.Now + limit;
    while (proxy.Now < end && Orders.size() == orders) {
      playWithCallers(proxy, Step);
    }
    return Orders.size() == orders ? std::nullopt : std::optional(Orders.back());
  }

  /// Carries out an order that had no answer; the platform checks its token now.
  void carryOutLate(const PromotionCall &order, TimePoint now) { carryOut(order, now); }

  /// Plays while a write of a caller waits, so that the proxy tries to reach the primary.
  void playWithCallers(SessionHarness &proxy, Duration time) {
    const auto end = proxy.Now + time;
    while (proxy.Now < end) {
      if (!proxy.Logic.Sessions.waiting())
        proxy.write(proxy.open("settle"), "w" + std::to_string(++LastWrite));
      play(proxy, Step);
    }
  }

  [[nodiscard]] std::string primary() const {
    for (const auto &[name, it] : Servers)
      if (it.Role == TargetRole::Primary)
        return name;
    return {};
  }

  std::map<std::string, Server> Servers;
  Position Acknowledged{1, 10};      ///< The newest commit that a caller has seen acknowledged.
  Claim Stored;                      ///< The claim object. Revision 0: there is none.
  bool StoreDelayed = false;         ///< Writes of the claim get no answer yet.
  bool WatchesSilent = false;        ///< Changes of the servers are told only on request.
  std::size_t Claims = 0;            ///< Number of changes that the proxy has claimed.
  std::uint64_t Revision = 40;       ///< Of the store.
  std::uint64_t Fence = 0;           ///< The highest token that the platform has seen.
  bool PromotionsUnanswered = false; ///< Orders get no answer, and are carried out only by carryOutLate().
  bool PromotionsFenced = false;     ///< Orders are refused as fenced.
  bool PromotionsDelayed = false;    ///< Accepted orders do not take effect yet.
  std::vector<PromotionCall> Orders; ///< All orders that the proxy sent.
  std::optional<std::uint64_t> AcceptedToken; ///< Of the newest order that was answered as accepted.
  std::map<std::string, std::vector<TimePoint>> PausedAt; ///< Pause commands carried out, by server.
  std::set<std::string> Resumed;                          ///< Servers that the proxy has resumed.
  bool EndedBeforeAccepted = false; ///< The claim was marked as done before an order was accepted.
  bool ResumedBeforeAccepted = false;
  bool LostCommits = false; ///< A server was promoted that lacked an acknowledged commit.

private:
  static constexpr Duration Step = 20ms;
  /// Between an order and the moment at which the server leads.
  static constexpr Duration PromotionTime = 600ms;

  using StoreAnswer = decltype(DirectoryAnswer::Result);

  struct Pending {
    std::string Server;
    TimePoint At;
  };

  void answer(SessionHarness &proxy) {
    while (const auto open = proxy.take<OpenLink>()) {
      const auto it = Servers.find(open->Target.str());
      if (it != Servers.end() && it->second.ReachesProxy) {
        Links[it->first].insert(open->Link);
        proxy.apply(LinkOpened{open->Link});
      } else {
        proxy.apply(LinkClosed{open->Link, LinkFailure::Refused});
      }
    }
    // What the proxy sends in reaction to a reply is answered in the next step.
    std::vector<SendOnLink> batches;
    while (const auto sent = proxy.take<SendOnLink>())
      batches.push_back(*sent);
    for (const auto &it : batches)
      run(proxy, it);
    while (answerStore(proxy)) {
    }
    listChanges(proxy);
    while (const auto order = proxy.take<PromotionCall>())
      answerOrder(proxy, *order);
  }

  void run(SessionHarness &proxy, const SendOnLink &sent) {
    const auto target = proxy.Logic.Links.targetOf(sent.Link);
    const auto it = target ? Servers.find(target->str()) : Servers.end();
    if (it == Servers.end() || !it->second.ReachesProxy)
      return;
    for (const auto &command : sent.Commands) {
      obey(it->first, it->second, command, proxy.Now);
      proxy.apply(replyTo(sent.Link, it->second, command));
    }
  }

  /// Writes and plain transactions are refused where the server does not lead.
  static LinkReplied replyTo(LinkId link, const Server &server, const LinkCommand &command) {
    const auto *begin = std::get_if<BeginTransaction>(&command);
    const bool plain = (begin && !begin->ReadOnly) || std::holds_alternative<RunStatement>(command);
    const bool refused = plain && server.Role != TargetRole::Primary;
    const auto outcome = refused ? SessionHarness::rejected(Rejection::ReadOnly) : SessionHarness::done();
    const auto state = begin && !refused ? TransactionState::Open : TransactionState::Idle;
    const TargetStatus status{server.Role, server.RaisedTerm, server.Log, {}, false, {}, server.Paused};
    const bool order = !begin && !std::holds_alternative<RunStatement>(command) &&
                       !std::holds_alternative<RollbackTransaction>(command);
    return {link, outcome, state, server.Log, order ? std::optional(status) : std::nullopt};
  }

  void obey(const std::string &name, Server &server, const LinkCommand &command, TimePoint now) {
    if (const auto *pause = std::get_if<PauseReplica>(&command);
        pause && server.Role == TargetRole::Replica) {
      server.RaisedTerm = std::max(server.RaisedTerm, pause->Term);
      server.Paused = true;
      PausedAt[name].push_back(now);
    } else if (const auto *stepDown = std::get_if<StepDownPrimary>(&command);
               stepDown && server.RaisedTerm < stepDown->Term) {
      server.RaisedTerm = stepDown->Term;
      server.Role = TargetRole::Replica;
    } else if (std::holds_alternative<ResumeReplica>(command)) {
      server.Paused = false;
      Resumed.insert(name);
      ResumedBeforeAccepted = ResumedBeforeAccepted || !AcceptedToken;
    }
  }

  /// Answers the oldest pending call of the store that concerns claims. False if there is none.
  bool answerStore(SessionHarness &proxy) {
    for (auto it = proxy.Out.begin(); it != proxy.Out.end(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      const auto *list = call ? std::get_if<ListDirectory>(&call->Request) : nullptr;
      const auto *put = call ? std::get_if<PutClaim>(&call->Request) : nullptr;
      if (!put && !(list && list->Kind == DirectoryKind::Claims))
        continue;
      if (put && StoreDelayed)
        return false;
      const auto id = call->Call;
      const auto next = put ? std::optional(put->Next) : std::nullopt;
      proxy.Out.erase(it);
      proxy.apply(DirectoryAnswer{id, next ? store(*next) : listClaims()});
      return true;
    }
    return false;
  }

  [[nodiscard]] StoreAnswer listClaims() const {
    if (Stored.Revision == 0)
      return DirectoryListing{{}, false, Revision};
    return DirectoryListing{{{Stored.Service.str(), false, Stored}}, false, Revision};
  }

  /// Answers the newest watch of the servers with the changes that it has not told yet. The proxy has given
  /// earlier watches up.
  void listChanges(SessionHarness &proxy) {
    if (const auto refresh = proxy.takeRefresh())
      proxy.apply(DirectoryAnswer{*refresh, DirectoryChanges{std::exchange(Changes, {}), Revision}});
    std::optional<CallId> newest;
    std::erase_if(proxy.Out, [&](const Effect &it) {
      const auto *call = std::get_if<DirectoryCall>(&it);
      const auto *watch = call ? std::get_if<WatchDirectory>(&call->Request) : nullptr;
      const bool servers = watch && watch->Kind == DirectoryKind::Servers;
      if (servers)
        newest = call->Call;
      return servers;
    });
    if (newest)
      Watch = newest;
    if (Changes.empty() || !Watch || WatchesSilent)
      return;
    const auto id = *std::exchange(Watch, std::nullopt);
    proxy.apply(DirectoryAnswer{id, DirectoryChanges{std::exchange(Changes, {}), Revision}});
  }

  StoreAnswer store(const Claim &next) {
    if (next.Revision != Stored.Revision)
      return ClaimConflict{Stored};
    if (next.Nonce != Stored.Nonce)
      ++Claims;
    Stored = next;
    Stored.Revision = ++Revision;
    EndedBeforeAccepted = EndedBeforeAccepted || (Stored.Done && !AcceptedToken);
    return ClaimStored{Stored};
  }

  void answerOrder(SessionHarness &proxy, const PromotionCall &order) {
    Orders.push_back(order);
    if (PromotionsUnanswered) {
      proxy.apply(PromotionAnswer{order.Call, PromotionResult::Unknown, "timeout"});
      return;
    }
    const bool accepted = !PromotionsFenced && carryOut(order, proxy.Now);
    if (accepted)
      AcceptedToken = order.Token;
    proxy.apply(
        PromotionAnswer{order.Call, accepted ? PromotionResult::Accepted : PromotionResult::Fenced, ""});
  }

  bool carryOut(const PromotionCall &order, TimePoint now) {
    if (order.Token < Fence || !Servers.contains(order.Target.str()))
      return false;
    Fence = order.Token;
    if (primary() != order.Target.str())
      Promotions.push_back({order.Target.str(), now + PromotionTime});
    return true;
  }

  void carryOutPromotions(SessionHarness &proxy) {
    if (PromotionsDelayed)
      return;
    for (const auto &it : Promotions)
      if (it.At <= proxy.Now && Servers.contains(it.Server) && primary() != it.Server)
        lead(it.Server);
    std::erase_if(Promotions, [&](const Pending &it) { return it.At <= proxy.Now; });
  }

  void lead(const std::string &name) {
    auto &leader = Servers.at(name);
    LostCommits = LostCommits || leader.Log < Acknowledged;
    Term term = 0;
    for (const auto &[other, it] : Servers)
      term = std::max(term, it.RaisedTerm);
    for (auto &[other, it] : Servers) {
      it.Role = other == name ? TargetRole::Primary : TargetRole::Replica;
      it.RaisedTerm = term + 1;
      it.Paused = false;
      it.Log = std::min(it.Log, leader.Log);
      Changes.push_back(SessionHarness::server(other, it.Role, ++Revision));
    }
  }

  std::map<std::string, std::set<LinkId>> Links; ///< Opened by the proxy, by server.
  std::vector<DirectoryObject> Changes;          ///< Of the servers' entries, not yet told.
  std::optional<CallId> Watch;                   ///< Of the servers, waiting for changes.
  std::vector<Pending> Promotions;               ///< On their way.
  std::uint64_t LastWrite = 0;
};

} // namespace rosemaryhinge

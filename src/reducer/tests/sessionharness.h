// Test fixture for the reducer of a proxy with sessions. The test answers each effect in place of the
// servers, callers and directory store.

#pragma once

#include "protocol/storerevision.h"
#include "reducer/reducer.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge {

class SessionHarness {
public:
  /// \param promotionFencing Whether a promotion demotes the former primary at once.
  explicit SessionHarness(bool promotionFencing = true) {
    Logic.Self.PromotionFencing = promotionFencing;
    Logic.Self.Node = NodeId("n1");
    Logic.Self.AvailabilityZone = AvailabilityZone("z1");
    Logic.Self.Region = Region("r1");
    Logic.Self.Interface = CallerInterface::Sessions;
    Logic.Self.RegionByZone = {{AvailabilityZone("z1"), Region("r1")},
                               {AvailabilityZone("z2"), Region("r2")}};
    apply(Started{1, 7});
    Configuration configuration;
    configuration.Version = 1;
    configuration.Routes = {route("settle", Consistency::Primary),
                            route("look", Consistency::BoundedStaleness),
                            route("book", Consistency::ReadYourWrites)};
    configuration.Services = {{DatabaseId("yard"), 22, 1}};
    DirectoryObject object{"main", false, configuration};
    answerList(DirectoryKind::Configuration, {object});
    answerList(DirectoryKind::Servers,
               {server("p", TargetRole::Primary, 11), server("a", TargetRole::Replica, 12),
                server("b", TargetRole::Replica, 13)});
  }

  static DatabaseRoute route(std::string database, Consistency reads) {
    DatabaseRoute out;
    out.Database = std::move(database);
    out.Service = DatabaseId("yard");
    out.Reads = reads;
    out.StatementTimeout = 800ms;
    out.MaxStaleness = 1500ms;
    return out;
  }

  static DirectoryObject server(const std::string &name, TargetRole role, std::uint64_t revision,
                                bool leaving = false) {
    ServerEntry entry{TargetId(name),
                      DatabaseId("yard"),
                      "10.0.0.1:" + std::to_string(1000 + name[0]),
                      AvailabilityZone(name == "a" ? "z1" : "z2"),
                      role,
                      leaving,
                      revision};
    return {name, false, entry};
  }

  void apply(const Event &event) {
    bool stopped = false;
    for (auto &it : reduce(Logic, event, Now)) {
      stopped = stopped || std::holds_alternative<StopAccepting>(it);
      Out.push_back(std::move(it));
    }
    if (stopped && !HoldAccepting)
      apply(AcceptingStopped{});
    if (const auto *answer = std::get_if<DirectoryAnswer>(&event))
      recordAnswer(*answer);
    answerStoreCalls();
  }

  /// Makes the proxy one of a fleet. Its lists of the proxies are as new as its claim from here on.
  /// \param others Names of the other proxies, which answer nothing by themselves.
  /// \param claims What its first list of the claims holds.
  void joinFleet(const std::vector<std::string> &others, std::vector<DirectoryObject> claims = {}) {
    Fleet.emplace();
    StartupClaims = std::move(claims);
    for (const auto &it : others)
      Fleet->push_back({it, false, ProxyEntry{NodeId(it), AvailabilityZone("z1"), "10.0.0.2:7000"}});
    Logic.Self.PeerAddress = "10.0.0.1:7000";
    Logic.Self.FirstStart = true;
    Fleet->push_back({"n1", false, ProxyEntry{Logic.Self.Node, AvailabilityZone("z1"), "10.0.0.1:7000", 7}});
    apply(Started{1, 7});
    pass(FleetMap::firstListDelay(Logic.Self) + 400ms);
  }

  /// The store loses the entry of a proxy of the fleet.
  void removeEntry(const std::string &node) {
    std::erase_if(*Fleet, [&](const DirectoryObject &it) { return it.Name == node; });
  }

  /// Receives a message of another proxy.
  void receive(const NodeId &from, PeerMessage message) { apply(PeerReceived{from, std::move(message)}); }

  /// Removes and returns the oldest pending message of type T to another proxy, with its recipient.
  template <typename T> std::optional<std::pair<NodeId, T>> takeMessage() {
    for (auto it = Out.begin(); it != Out.end(); ++it)
      if (const auto *sent = std::get_if<SendToPeer>(&*it))
        if (const auto *message = std::get_if<T>(&sent->Message)) {
          std::pair<NodeId, T> out{sent->To, *message};
          Out.erase(it);
          return out;
        }
    return std::nullopt;
  }

  /// Removes and returns the oldest pending write of the proxy's own entry, if any.
  std::optional<PutProxy> takePutProxy() { return takeStoreCall<PutProxy>(); }
  /// Removes a pending read of the proxy's own entry. Returns whether there was one.
  bool takeReadProxy() { return takeStoreCall<ReadProxy>().has_value(); }
  /// Removes and returns the oldest pending notice to proxies that do not answer, if any.
  std::optional<FenceNotice> takeNotice() {
    const auto put = takeStoreCall<PutFenceNotice>();
    return put ? std::optional(put->Next) : std::nullopt;
  }

  /// Removes and returns a call that asks for the changes of the servers until now, if there is one.
  std::optional<CallId> takeRefresh() {
    const auto it = std::find_if(Out.begin(), Out.end(), [](const Effect &one) {
      const auto *call = std::get_if<DirectoryCall>(&one);
      const auto *watch = call ? std::get_if<WatchDirectory>(&call->Request) : nullptr;
      return watch && watch->Wait == DirectoryModule::RefreshWait;
    });
    if (it == Out.end())
      return std::nullopt;
    const auto out = std::get<DirectoryCall>(*it).Call;
    Out.erase(it);
    return out;
  }

  /// Advances the clock, stopping at each due timer to apply TimerFired.
  void pass(Duration time) {
    const auto end = Now + time;
    while (true) {
      const auto next = nextTimer(Logic);
      if (!next || *next > end)
        break;
      Now = std::max(Now + 1us, *next);
      apply(TimerFired{});
    }
    Now = end;
  }

  /// Removes and returns the oldest pending effect of type T, if any.
  template <typename T> std::optional<T> take() {
    const auto it = std::find_if(Out.begin(), Out.end(),
                                 [](const Effect &one) { return std::holds_alternative<T>(one); });
    if (it == Out.end())
      return std::nullopt;
    auto out = std::move(std::get<T>(*it));
    Out.erase(it);
    return out;
  }

  /// Answers the oldest pending list call for a kind of directory object, if any.
  void answerList(DirectoryKind kind, std::vector<DirectoryObject> objects, std::uint64_t revision = 20) {
    const auto it = findList(kind);
    if (it == Out.end())
      return;
    const auto id = std::get<DirectoryCall>(*it).Call;
    Out.erase(it);
    apply(DirectoryAnswer{id, DirectoryListing{std::move(objects), false, revision}});
  }

  /// The oldest pending list call for a kind of directory object.
  std::deque<Effect>::iterator findList(DirectoryKind kind) {
    return std::find_if(Out.begin(), Out.end(), [kind](const Effect &it) {
      const auto *call = std::get_if<DirectoryCall>(&it);
      const auto *list = call ? std::get_if<ListDirectory>(&call->Request) : nullptr;
      return list && list->Kind == kind;
    });
  }

  /// Answers the oldest pending watch call for a kind of directory object with changes, if any.
  void answerWatch(DirectoryKind kind, std::vector<DirectoryObject> objects, std::uint64_t revision) {
    for (auto it = Out.begin(); it != Out.end(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      const auto *watch = call ? std::get_if<WatchDirectory>(&call->Request) : nullptr;
      if (!watch || watch->Kind != kind)
        continue;
      const auto id = call->Call;
      Out.erase(it);
      apply(DirectoryAnswer{id, DirectoryChanges{std::move(objects), revision}});
      return;
    }
  }

  /// Connects a caller that does not start its session yet.
  SessionId connect() {
    const SessionId id{++LastSession};
    apply(CallerConnected{id});
    return id;
  }
  void start(SessionId session, const std::string &database) { apply(SessionOpened{session, database, {}}); }
  SessionId open(const std::string &database) {
    const auto id = connect();
    start(id, database);
    return id;
  }

  /// Sends a statement whose text equals its id.
  void send(SessionId session, const std::string &id, ParsedStatement parsed) {
    apply(StatementArrived{session, {id, id, std::move(parsed)}});
  }
  void read(SessionId session, const std::string &id) { send(session, id, DataStatement{AccessMode::Read}); }
  void write(SessionId session, const std::string &id) {
    send(session, id, DataStatement{AccessMode::Write});
  }

  /// Accepts the oldest link that the proxy is opening and returns it with its target; empty if there is
  /// none.
  std::pair<LinkId, TargetId> acceptLink() {
    const auto it = take<OpenLink>();
    if (!it)
      return {};
    apply(LinkOpened{it->Link});
    return {it->Link, it->Target};
  }

  void reply(LinkId link, StatementOutcome outcome, TransactionState state,
             std::optional<Position> at = std::nullopt) {
    apply(LinkReplied{link, std::move(outcome), state, at, std::nullopt});
  }
  static StatementOutcome done() { return StatementResultRows{{}, "signed"}; }
  static StatementOutcome rejected(Rejection code) { return StatementRejection{code, ""}; }

  /// The first command of type T in a batch; null if there is none.
  template <typename T> static const T *command(const SendOnLink &sent) {
    for (const auto &it : sent.Commands)
      if (const auto *one = std::get_if<T>(&it))
        return one;
    return nullptr;
  }

  State Logic;
  TimePoint Now{1000s};
  std::deque<Effect> Out;
  bool HoldAccepting = false;     ///< The test itself answers StopAccepting.
  bool HoldRefresh = false;       ///< The test itself answers requests for the changes of the servers.
  bool HoldAnnouncement = false;  ///< The registration of the proxy is not stored yet.
  bool HoldStartupClaims = false; ///< The test itself answers the first list of the claims.
  // Outputs of the Context of a test that calls a module directly instead of through reduce().
  Effects Extra;
  std::vector<JournalEntry> Records;

private:
  template <typename T> std::optional<T> takeStoreCall() {
    for (auto it = Out.begin(); it != Out.end(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      const auto *request = call ? std::get_if<T>(&call->Request) : nullptr;
      if (!request)
        continue;
      auto out = *request;
      Out.erase(it);
      return out;
    }
    return std::nullopt;
  }

  void recordAnswer(const DirectoryAnswer &answer) {
    if (const auto *stored = std::get_if<ClaimStored>(&answer.Result))
      ClaimRevision = stored->Stored.Revision;
    StoreEra = std::max(StoreEra, answer.Era);
    if (ServersWatch == answer.Call)
      ServersWatch.reset();
  }

  void answerStoreCalls() {
    for (const auto &it : Out) {
      const auto *call = std::get_if<DirectoryCall>(&it);
      const auto *watch = call ? std::get_if<WatchDirectory>(&call->Request) : nullptr;
      if (watch && watch->Kind == DirectoryKind::Servers && watch->Wait != DirectoryModule::RefreshWait)
        ServersWatch = call->Call;
    }
    if (const auto call = HoldRefresh ? std::nullopt : takeRefresh())
      apply(DirectoryAnswer{*call, DirectoryChanges{{}, ClaimRevision}});
    if (Fleet) {
      if (!HoldAnnouncement)
        answerAnnouncement();
      if (StartupClaims && !HoldStartupClaims && findList(DirectoryKind::Claims) != Out.end())
        answerList(DirectoryKind::Claims, *std::exchange(StartupClaims, std::nullopt));
      answerList(DirectoryKind::Proxies, *Fleet, std::max<std::uint64_t>(20, ClaimRevision));
    }
    if (StoreEra > 0 && !HoldRefresh)
      answerServersInEra();
  }

  /// The proxy is registered for the first time.
  void answerAnnouncement() {
    for (auto it = Out.begin(); it != Out.end(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      if (!call || !std::holds_alternative<PutProxy>(call->Request))
        continue;
      const auto id = call->Call;
      Out.erase(it);
      apply(DirectoryAnswer{id, ProxyStored{AnnouncedRevision}});
      return;
    }
  }

  /// A watch tells of a restored store at once, and the servers are listed again as they were.
  void answerServersInEra() {
    const auto revision = storeRevision(StoreEra, 20);
    if (ToldEra < StoreEra && ServersWatch) {
      ToldEra = StoreEra;
      apply(DirectoryAnswer{*std::exchange(ServersWatch, std::nullopt), DirectoryChanges{{}, revision}});
    }
    answerList(DirectoryKind::Servers,
               {server("p", TargetRole::Primary, storeRevision(StoreEra, 11)),
                server("a", TargetRole::Replica, storeRevision(StoreEra, 12)),
                server("b", TargetRole::Replica, storeRevision(StoreEra, 13))},
               revision);
  }

  static constexpr std::uint64_t AnnouncedRevision = 15;

  std::uint64_t LastSession = 0;
  std::uint64_t ClaimRevision = 0; ///< Of the last write of the claim.
  std::optional<std::vector<DirectoryObject>> Fleet;
  std::optional<std::vector<DirectoryObject>> StartupClaims; ///< Empty once they have been listed.
  std::uint64_t StoreEra = 0;                                ///< As far as an answer has told it.
  std::uint64_t ToldEra = 0;          ///< The era that a watch of the servers has told.
  std::optional<CallId> ServersWatch; ///< The newest one without an answer.
};

} // namespace rosemaryhinge

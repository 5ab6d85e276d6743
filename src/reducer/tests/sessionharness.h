// Test fixture for the reducer of a proxy with sessions. The test answers each effect in place of the
// servers, callers and directory store.

#pragma once

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
  void answerList(DirectoryKind kind, std::vector<DirectoryObject> objects) {
    for (auto it = Out.begin(); it != Out.end(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      const auto *list = call ? std::get_if<ListDirectory>(&call->Request) : nullptr;
      if (!list || list->Kind != kind)
        continue;
      const auto id = call->Call;
      Out.erase(it);
      apply(DirectoryAnswer{id, DirectoryListing{std::move(objects), false, 20}});
      return;
    }
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
  bool HoldAccepting = false; ///< The test itself answers StopAccepting.
  // Outputs of the Context of a test that calls a module directly instead of through reduce().
  Effects Extra;
  std::vector<JournalEntry> Records;

private:
  std::uint64_t LastSession = 0;
};

} // namespace rosemaryhinge

// Tests of how the catalogue follows the store.

#include "directory/directorymodule.h"
#include "protocol/storerevision.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// The module with the calls that it has sent.
class Fixture {
public:
  Fixture() { Module.onStarted(ctx(), Services); }

  Context &ctx() {
    Ctx.emplace(Context{Now, Self, 1, Allowed, Random, Out, Journal, Number});
    return *Ctx;
  }

  /// Takes the newest call about a kind.
  std::optional<DirectoryCall> take(DirectoryKind kind) {
    for (auto it = Out.rbegin(); it != Out.rend(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      if (!call)
        continue;
      const auto *list = std::get_if<ListDirectory>(&call->Request);
      const auto *watch = std::get_if<WatchDirectory>(&call->Request);
      if ((list && list->Kind == kind) || (watch && watch->Kind == kind)) {
        auto out = *call;
        Out.erase(std::next(it).base());
        return out;
      }
    }
    return std::nullopt;
  }

  template <typename T> void answer(const DirectoryCall &call, T result) {
    Module.onAnswer(ctx(), Services, {call.Call, std::move(result)});
  }

  void advance(Duration time) {
    Now += time;
    Module.onTimer(ctx(), Services);
  }

  static DirectoryObject server(const std::string &name, std::uint64_t revision, bool leaving = false) {
    ServerEntry out;
    out.Target = TargetId(name);
    out.Service = DatabaseId("yard");
    out.Role = TargetRole::Replica;
    out.Leaving = leaving;
    out.Revision = revision;
    return {name, false, out};
  }
  static DirectoryObject configuration(std::uint64_t version) {
    Configuration out;
    out.Version = version;
    return {"main", false, out};
  }
  static DirectoryObject deletedEntry(const std::string &name) { return {name, true, UnreadableObject{}}; }

  /// Makes a proxy known, in this zone or another one.
  void addProxies(std::size_t count) {
    Self.Node = NodeId("self");
    Self.AvailabilityZone = AvailabilityZone("z");
    Self.PeerAddress = "10.0.0.1:7000";
    Fleet.onStarted(ctx());
    Now += 400ms;
    Fleet.onTimer(ctx());
    std::vector<DirectoryObject> proxies;
    for (std::size_t n = 0; n < count; ++n) {
      const auto name = "n" + std::to_string(n);
      proxies.push_back({name, false, ProxyEntry{NodeId(name), Self.AvailabilityZone, "10.0.0.2:7000"}});
    }
    for (const auto &it : Out)
      if (const auto *call = std::get_if<DirectoryCall>(&it))
        if (const auto *list = std::get_if<ListDirectory>(&call->Request);
            list && list->Kind == DirectoryKind::Proxies) {
          const auto id = call->Call;
          Fleet.onAnswer(ctx(), {id, DirectoryListing{proxies, false, 1}});
          break;
        }
  }
  /// Takes the oldest message of a kind to another proxy.
  template <typename T> std::optional<std::pair<NodeId, T>> takeSent() {
    for (auto it = Out.begin(); it != Out.end(); ++it)
      if (const auto *sent = std::get_if<SendToPeer>(&*it))
        if (const auto *message = std::get_if<T>(&sent->Message)) {
          std::pair<NodeId, T> out{sent->To, *message};
          Out.erase(it);
          return out;
        }
    return std::nullopt;
  }
  void reply(const NodeId &from, const ChangesReply &message) {
    Module.onReply(ctx(), Services, from, message);
  }

  DirectoryModule Module;
  Catalog Known;
  FleetMap Fleet;
  DirectoryServices Services{Known, Fleet};
  TimePoint Now{50s};

  NodeConfig Self;
  Effects Out;

private:
  Rules Allowed;
  std::mt19937_64 Random;
  std::vector<JournalEntry> Journal;
  std::uint64_t Number = 0;
  std::optional<Context> Ctx;
};

} // namespace

TEST_CASE("a list of several pages counts once it is whole") {
  Fixture store;
  auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  store.answer(*call, DirectoryListing{{Fixture::server("a", 1)}, true, 9});
  CHECK_FALSE(store.Known.serversLoaded());
  call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<ListDirectory>(call->Request).After == "a");
  store.answer(*call, DirectoryListing{{Fixture::server("b", 2)}, false, 9});
  CHECK(store.Known.serversLoaded());
  CHECK(store.Known.servers(DatabaseId("yard")).size() == 2);
  call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<WatchDirectory>(call->Request).Revision == 9);
}

TEST_CASE("what changes while the pages of a list are read is not missed") {
  // Guards against a server that has begun to leave and is used on: its page was read before.
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, true, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("b", 2)}, false, 11});
  const auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<WatchDirectory>(call->Request).Revision == 9);
}

TEST_CASE("a list goes on after the last object that has a name") {
  // Guards against a list that starts again and again behind an object of another writer.
  Fixture store;
  const DirectoryObject nameless{"", false, UnreadableObject{"no name"}};
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", 1), nameless}, true, 9});
  const auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<ListDirectory>(call->Request).After == "a");
  store.answer(*call, DirectoryListing{{Fixture::server("b", 2), nameless}, false, 9});
  CHECK(store.Known.servers(DatabaseId("yard")).size() == 2);
}

TEST_CASE("a watch whose answer cannot be read is replaced by a list") {
  // Guards against a proxy that repeats the same watch for good and no longer follows the servers.
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryFailure{"too large", false, true});
  store.advance(200ms);
  auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<ListDirectory>(call->Request));
  CHECK(store.Known.server(TargetId("a")));
  store.answer(*call, DirectoryListing{{Fixture::server("b", 12)}, false, 12});
  CHECK(store.Known.server(TargetId("b")));
  call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<WatchDirectory>(call->Request).Revision == 12);
}

TEST_CASE("an entry that another writer has overwritten names no server, unless the server writes it again") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", 1), Fixture::server("b", 2)}, false, 9});
  const auto odd = [](const std::string &name) {
    return DirectoryObject{name, false, UnreadableObject{"unknown state"}};
  };
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{odd("a"), odd("b"), odd("c")}, 11});
  store.advance(1s);
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Fixture::server("b", 12)}, 12});
  store.advance(2s);
  CHECK_FALSE(store.Known.server(TargetId("a")));
  CHECK(store.Known.server(TargetId("b")));
}

TEST_CASE("a server whose entry lapsed with the store is kept until it may be taken as gone") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", 1), Fixture::server("b", 2)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryChanges{{Fixture::deletedEntry("a"), Fixture::deletedEntry("b")}, 11});
  store.advance(2s);
  CHECK(store.Known.server(TargetId("a")));
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Fixture::server("a", 12)}, 12});
  store.advance(1s);
  CHECK(store.Known.server(TargetId("a")));
  CHECK_FALSE(store.Known.server(TargetId("b")));
}

TEST_CASE("a server that announced its leaving is gone with its entry") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", 1, true)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Fixture::deletedEntry("a")}, 11});
  CHECK_FALSE(store.Known.server(TargetId("a")));
}

TEST_CASE("history that is gone is made up for by a new list") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryHistoryCompacted{});
  const auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::holds_alternative<ListDirectory>(call->Request));
}

TEST_CASE("a store that does not answer is asked again at growing intervals, without end") {
  Fixture store;
  int calls = 0;
  for (int n = 0; n < 1'000; ++n) {
    if (const auto call = store.take(DirectoryKind::Configuration)) {
      ++calls;
      store.answer(*call, DirectoryFailure{"down", true});
    }
    store.advance(10ms);
  }
  CHECK(calls >= 10);
  CHECK(calls <= 40);
}

namespace {

/// A proxy of a large zone that follows another one.
class Follower : public Fixture {
public:
  Follower() {
    addProxies(30);
    answer(*take(DirectoryKind::Servers),
           DirectoryListing{{Fixture::server("a", 1), Fixture::server("b", 2)}, false, 9});
    const auto asked = takeSent<ChangesRequest>();
    REQUIRE(asked);
    Of = asked->first;
    Asked = asked->second;
  }
  void reply(ChangesReply message) {
    message.Number = Asked.Number;
    message.Kind = DirectoryKind::Servers;
    Fixture::reply(Of, message);
    if (const auto asked = takeSent<ChangesRequest>()) {
      Of = asked->first;
      Asked = asked->second;
    }
  }

  NodeId Of;
  ChangesRequest Asked;
};

} // namespace

TEST_CASE("in a large zone a proxy follows one that watches the store, and spends no calls of its own") {
  Follower it;
  CHECK(it.Asked.Revision == 9);
  CHECK_FALSE(it.take(DirectoryKind::Servers));
  it.reply({0, {}, 12, 100ms, false, {Fixture::server("a", 12, true), Fixture::deletedEntry("b")}});
  REQUIRE(it.Known.server(TargetId("a")));
  CHECK(it.Known.server(TargetId("a"))->Entry.Leaving);
  it.advance(3s);
  CHECK_FALSE(it.Known.server(TargetId("b")));
  CHECK(it.Asked.Revision == 12);
}

TEST_CASE("a whole answer ends what it does not name") {
  Follower it;
  it.reply({0, {}, 40, 100ms, true, {Fixture::server("b", 2)}});
  it.advance(3s);
  CHECK_FALSE(it.Known.server(TargetId("a")));
  CHECK(it.Known.server(TargetId("b")));
}

TEST_CASE("a proxy that is followed and has lost the store is left within the bound for configurations") {
  Follower it;
  const auto first = it.Of;
  it.reply({0, {}, 9, 2300ms, false, {}});
  CHECK(it.Of != first);
  it.reply({0, {}, 9, 2300ms, false, {}});
  // Both that watch the store have lost it: this proxy asks the store itself, at once.
  const auto call = it.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<WatchDirectory>(call->Request).Revision == 9);
}

TEST_CASE("a followed proxy that gives no answer is left for the next") {
  Follower it;
  const auto first = it.Of;
  it.advance(1300ms);
  const auto asked = it.takeSent<ChangesRequest>();
  REQUIRE(asked);
  CHECK(asked->first != first);
}

TEST_CASE("a proxy that the store refuses gets the news from another one, and still tries the store") {
  Fixture store;
  store.addProxies(1);
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryFailure{"HTTP status 503", true});
  auto asked = store.takeSent<ChangesRequest>();
  REQUIRE(asked);
  store.reply(
      asked->first,
      {asked->second.Number, DirectoryKind::Servers, 12, 50ms, false, {Fixture::server("a", 12, true)}});
  CHECK(store.Known.server(TargetId("a"))->Entry.Leaving);
  bool tried = false;
  for (int n = 0; n < 60 && !tried; ++n) {
    store.advance(50ms);
    if (asked = store.takeSent<ChangesRequest>(); asked)
      store.reply(asked->first, {asked->second.Number, DirectoryKind::Servers, 12, 50ms, false, {}});
    tried = store.take(DirectoryKind::Servers).has_value();
  }
  CHECK(tried);
}

TEST_CASE("a proxy that starts while the store refuses it becomes ready with what another one knows") {
  Fixture store;
  store.addProxies(1);
  store.answer(*store.take(DirectoryKind::Servers), DirectoryFailure{"HTTP status 503", true});
  const auto asked = store.takeSent<ChangesRequest>();
  REQUIRE(asked);
  CHECK(asked->second.Revision == 0);
  store.reply(asked->first,
              {asked->second.Number, DirectoryKind::Servers, 12, 50ms, true, {Fixture::server("a", 12)}});
  CHECK(store.Known.serversLoaded());
  CHECK(store.Known.server(TargetId("a")));
}

TEST_CASE("who follows is answered at once when something changes, else after a wait") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  const auto watch = store.take(DirectoryKind::Servers);
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"), {5, DirectoryKind::Servers, 9, 1s});
  CHECK_FALSE(store.takeSent<ChangesReply>());
  store.answer(*watch, DirectoryChanges{{Fixture::server("a", 12, true)}, 12});
  auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK(reply->second.Number == 5);
  CHECK(reply->second.Objects.size() == 1);
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"), {6, DirectoryKind::Servers, 12, 1s});
  store.advance(900ms);
  CHECK_FALSE(store.takeSent<ChangesReply>());
  store.advance(150ms);
  reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK(reply->second.Objects.empty());
}

TEST_CASE("who follows is told when the store has not confirmed anything for long") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  store.advance(1900ms);
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"), {5, DirectoryKind::Servers, 9, 1s});
  CHECK_FALSE(store.takeSent<ChangesReply>());
  store.advance(350ms);
  const auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK(reply->second.Age > 2200ms);
}

TEST_CASE("ends of entries are passed on, also to a proxy that asks from before the last list") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", 1), Fixture::server("b", 2)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Fixture::deletedEntry("b")}, 11});
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"), {5, DirectoryKind::Servers, 9, 1s});
  auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK_FALSE(reply->second.Complete);
  REQUIRE(reply->second.Objects.size() == 1);
  CHECK(reply->second.Objects.front().Deleted);
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n3"), {6, DirectoryKind::Servers, 3, 1s});
  reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK(reply->second.Complete);
  // The end of b is not certain yet, but its entry is: it is left out.
  REQUIRE(reply->second.Objects.size() == 1);
  CHECK(reply->second.Objects.front().Name == "a");
}

TEST_CASE("the end of an entry is passed on by a proxy that does not use its server") {
  // Guards against proxies that keep a server for good, since the one that they follow had found it gone.
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  store.Known.onMisrouted(TargetId("a"), store.Now);
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Fixture::deletedEntry("a")}, 11});
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"), {5, DirectoryKind::Servers, 9, 1s});
  const auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  REQUIRE(reply->second.Objects.size() == 1);
  CHECK(reply->second.Objects.front().Deleted);
}

TEST_CASE("a proxy that neither the store nor others answer is cut off, until one of them does") {
  // Seen on paali-host, incident c7ad: two proxies kept taking sessions that they could not serve for 6 s.
  Fixture store;
  store.addProxies(3);
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  for (int n = 0; n < 100 && !store.Module.isolated(); ++n) {
    if (const auto call = store.take(DirectoryKind::Servers))
      store.answer(*call, DirectoryFailure{"timed out", false});
    store.advance(100ms);
  }
  CHECK(store.Module.isolated());
  bool answered = false;
  for (int n = 0; n < 100 && !answered; ++n) {
    if (const auto call = store.take(DirectoryKind::Servers)) {
      store.answer(*call, DirectoryChanges{{}, 12});
      answered = true;
    }
    store.advance(100ms);
  }
  CHECK(answered);
  CHECK_FALSE(store.Module.isolated());
}

TEST_CASE("a store that is down for all does not make a proxy with living neighbours cut off") {
  Fixture store;
  store.addProxies(3);
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  for (int n = 0; n < 100; ++n) {
    if (const auto call = store.take(DirectoryKind::Servers))
      store.answer(*call, DirectoryFailure{"timed out", false});
    if (const auto asked = store.takeSent<ChangesRequest>())
      store.reply(asked->first, {asked->second.Number, asked->second.Kind, 9, 5s, false, {}});
    store.advance(100ms);
    CHECK_FALSE(store.Module.isolated());
  }
}

TEST_CASE("a proxy that starts in a large zone reads the first list from the one that it follows") {
  Follower it;
  it.Module = DirectoryModule();
  it.Known = Catalog();
  it.Out.clear();
  it.Module.onStarted(it.ctx(), it.Services);
  CHECK_FALSE(it.take(DirectoryKind::Servers));
  auto asked = it.takeSent<ChangesRequest>();
  while (asked && asked->second.Kind != DirectoryKind::Servers)
    asked = it.takeSent<ChangesRequest>();
  REQUIRE(asked);
  CHECK(asked->second.Revision == 0);
  it.Module.onReply(
      it.ctx(), it.Services, asked->first,
      {asked->second.Number, DirectoryKind::Servers, 12, 50ms, true, {Fixture::server("a", 12)}});
  CHECK(it.Known.serversLoaded());
}

TEST_CASE("a proxy that starts asks the store if the one that it follows does not answer") {
  Follower it;
  it.Module = DirectoryModule();
  it.Known = Catalog();
  it.Out.clear();
  it.Module.onStarted(it.ctx(), it.Services);
  it.advance(600ms);
  const auto call = it.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::holds_alternative<ListDirectory>(call->Request));
}

TEST_CASE("a proxy that has read nothing yet answers those that follow it once it has") {
  Fixture store;
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"), {5, DirectoryKind::Servers, 0, 250ms});
  CHECK_FALSE(store.takeSent<ChangesReply>());
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  const auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK(reply->second.Complete);
  CHECK(reply->second.Objects.size() == 1);
}

TEST_CASE("after a restoration of the store, a watch goes on from the revision of the new list") {
  // Guards against changes that are missed: the store gives the revisions that it has forgotten out again.
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", storeRevision(1, 90))}, false, storeRevision(1, 100)});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryHistoryCompacted{});
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", storeRevision(2, 60))}, false, storeRevision(2, 61)});
  const auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(storeNumber(std::get<WatchDirectory>(call->Request).Revision) == 61);
  store.answer(*call,
               DirectoryChanges{{Fixture::server("a", storeRevision(2, 62), true)}, storeRevision(2, 62)});
  CHECK(store.Known.server(TargetId("a"))->Entry.Leaving);
}

TEST_CASE("a watch that a restored store answers is replaced by a list") {
  // Guards against a configuration that is never in force: it was written again below the watched revision.
  Fixture store;
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(7)}, false, storeRevision(1, 100)});
  store.answer(*store.take(DirectoryKind::Configuration), DirectoryChanges{{}, storeRevision(2, 105)});
  const auto call = store.take(DirectoryKind::Configuration);
  REQUIRE(call);
  REQUIRE(std::holds_alternative<ListDirectory>(call->Request));
  store.answer(*call, DirectoryListing{{Fixture::configuration(8)}, false, storeRevision(2, 105)});
  CHECK(store.Known.configuration().Version == 8);
}

TEST_CASE("a list whose pages come from before and after a restoration is read again") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("a", storeRevision(1, 90))}, true, storeRevision(1, 100)});
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Fixture::server("b", storeRevision(2, 60))}, false, storeRevision(2, 61)});
  CHECK_FALSE(store.Known.serversLoaded());
  const auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<ListDirectory>(call->Request).After.empty());
}

TEST_CASE("a followed proxy that knows nothing of a restoration ends no entries and is left for the next") {
  Follower it;
  const auto first = it.Of;
  it.reply({0, {}, storeRevision(2, 40), 100ms, true, {Fixture::server("a", storeRevision(2, 30))}});
  CHECK(it.Asked.Revision == storeRevision(2, 40));
  it.reply({0, {}, storeRevision(1, 90), 100ms, true, {}});
  it.advance(3s);
  CHECK(it.Known.server(TargetId("a")));
  CHECK(it.Of != first);
}

TEST_CASE("a configuration that is written again after a restoration is told to who has read an older one") {
  // Guards against a proxy that started during a restoration and keeps the configuration of the copy.
  Fixture store;
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(15)}, false, storeRevision(1, 100)});
  store.answer(*store.take(DirectoryKind::Configuration), DirectoryHistoryCompacted{});
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(12)}, false, storeRevision(2, 40)});
  const auto watch = store.take(DirectoryKind::Configuration);
  REQUIRE(watch);
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n2"),
                         {5, DirectoryKind::Configuration, storeRevision(2, 40), 1s});
  CHECK_FALSE(store.takeSent<ChangesReply>());
  store.answer(*watch, DirectoryChanges{{Fixture::configuration(15)}, storeRevision(2, 70)});
  const auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK(reply->second.Revision == storeRevision(2, 70));
  REQUIRE(reply->second.Objects.size() == 1);
  CHECK(std::get<Configuration>(reply->second.Objects.front().Value).Version == 15);
}

TEST_CASE("an answer proves the configuration's age from the time at which the question was sent") {
  // Guards against a proof that looks younger than it is: the answer was held up on its way, or this proxy
  // was suspended before it read it.
  Fixture store;
  const auto asked = store.Now;
  auto call = *store.take(DirectoryKind::Configuration);
  store.Now += 900ms;
  store.answer(call, DirectoryListing{{Fixture::configuration(1)}, false, 9});
  CHECK((store.Known.configurationProvenUntil() == asked));
  const auto watched = store.Now;
  call = *store.take(DirectoryKind::Configuration);
  store.Now += 2s;
  store.answer(call, DirectoryChanges{{}, 9});
  CHECK((store.Known.configurationProvenUntil() == watched));
  CHECK(store.Known.keysProven(Duration(5s), watched + 4900ms));
  CHECK_FALSE(store.Known.keysProven(Duration(5s), watched + 4901ms));
  CHECK(store.Known.keysProven(std::nullopt, watched + 1h));
}

TEST_CASE("a configuration that cannot be read proves nothing until one can be read") {
  Fixture store;
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(1)}, false, 9});
  const auto proven = store.Known.configurationProvenUntil();
  store.advance(DirectoryModule::StartupPeriod);
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryChanges{{{"main", false, UnreadableObject{"odd"}}}, 10});
  store.Now += 1s;
  store.answer(*store.take(DirectoryKind::Configuration), DirectoryChanges{{}, 10});
  CHECK((store.Known.configurationProvenUntil() == proven));
  store.Now += 1s;
  const auto asked = store.Now;
  store.answer(*store.take(DirectoryKind::Configuration), DirectoryChanges{{Fixture::configuration(2)}, 11});
  CHECK((store.Known.configurationProvenUntil() <= asked));
  CHECK((store.Known.configurationProvenUntil() > proven));
}

TEST_CASE("a follower counts a proof from its own request, whatever the delays") {
  Follower it;
  it.answer(*it.take(DirectoryKind::Configuration), DirectoryListing{{Fixture::configuration(1)}, false, 9});
  const auto asked = it.Now;
  auto request = it.takeSent<ChangesRequest>();
  REQUIRE(request);
  REQUIRE((request->second.Kind == DirectoryKind::Configuration));
  // The answer says that the proof was 300 ms younger than the request when that was received, and is held up
  // for 1 s.
  it.Now += 1s;
  it.Fixture::reply(request->first, {request->second.Number,
                                     DirectoryKind::Configuration,
                                     9,
                                     300ms,
                                     false,
                                     {Fixture::configuration(2)},
                                     Duration(300ms)});
  CHECK((it.Known.configurationProvenUntil() == asked + 300ms));
  // A proxy of an earlier release sends no proof.
  request = it.takeSent<ChangesRequest>();
  REQUIRE(request);
  it.Now += 100ms;
  it.Fixture::reply(request->first,
                    {request->second.Number, DirectoryKind::Configuration, 9, 0ms, false, {}});
  CHECK((it.Known.configurationProvenUntil() == asked + 300ms));
}

TEST_CASE("who follows is told the proof relative to the receipt of its request") {
  Fixture store;
  const auto asked = store.Now;
  store.Now += 100ms;
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(1)}, false, 9});
  store.Now += 400ms;
  store.Module.onRequest(store.ctx(), store.Services, NodeId("n1"), {7, DirectoryKind::Configuration, 9, 1s});
  store.advance(1s);
  const auto reply = store.takeSent<ChangesReply>();
  REQUIRE(reply);
  CHECK((reply->second.ProofOffset == asked - (asked + 500ms)));
}

TEST_CASE("where withdrawn keys have to stop within a bound, watches of the configuration are short") {
  Fixture store;
  store.Self.RevocationBound = 5s;
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(1)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{}, false, 9});
  store.advance(DirectoryModule::StartupPeriod);
  const auto configuration = store.take(DirectoryKind::Configuration);
  const auto servers = store.take(DirectoryKind::Servers);
  REQUIRE((configuration && servers));
  CHECK((std::get<WatchDirectory>(configuration->Request).Wait == 1s));
  CHECK((std::get<WatchDirectory>(servers->Request).Wait == DirectoryModule::WatchDuration));
}

TEST_CASE("a proxy whose call to the store is not answered learns from another one meanwhile") {
  // Guards against callers that are refused for a route which others know.
  Fixture store;
  store.addProxies(1);
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(1)}, false, 9});
  // The watch is never answered, and fails at its timeout.
  const auto watch = *store.take(DirectoryKind::Configuration);
  store.advance(watch.Timeout);
  store.answer(watch, DirectoryFailure{"timed out", false});
  const auto asked = store.takeSent<ChangesRequest>();
  REQUIRE(asked);
  store.advance(200ms);
  REQUIRE(store.take(DirectoryKind::Configuration));
  store.reply(
      asked->first,
      {asked->second.Number, DirectoryKind::Configuration, 12, 50ms, false, {Fixture::configuration(2)}});
  CHECK(store.Known.configuration().Version == 2);
}

TEST_CASE("a proxy that the store answers again watches it at once") {
  // Guards against a watcher that waits for one of those that follow it.
  Fixture store;
  store.addProxies(1);
  store.answer(*store.take(DirectoryKind::Configuration),
               DirectoryListing{{Fixture::configuration(1)}, false, 9});
  store.answer(*store.take(DirectoryKind::Configuration), DirectoryFailure{"HTTP status 503", true});
  REQUIRE(store.takeSent<ChangesRequest>());
  store.advance(DirectoryModule::StoreRetryInterval);
  const auto call = store.take(DirectoryKind::Configuration);
  REQUIRE(call);
  store.Now += DirectoryModule::StartupPeriod;
  store.answer(*call, DirectoryChanges{{Fixture::configuration(2)}, 12});
  CHECK(store.take(DirectoryKind::Configuration));
}

namespace {

/// A proxy that the store has failed to answer once, and that calls it again while another one is asked.
class BetweenStoreAndPeer : public Fixture {
public:
  BetweenStoreAndPeer() { addProxies(1); }

  /// Answers the request to the other proxy without news, until the store is called again.
  DirectoryCall callAgain() {
    for (int n = 0; n < 50; ++n) {
      if (const auto call = take(DirectoryKind::Servers))
        return *call;
      advance(100ms);
      if (n % 2 == 1)
        tell({0, {}, Revision, 50ms, false, {}});
    }
    FAIL("the store was not called again");
    return {};
  }
  void tell(ChangesReply message) {
    while (const auto asked = takeSent<ChangesRequest>())
      if (asked->second.Kind == DirectoryKind::Servers) {
        message.Number = asked->second.Number;
        message.Kind = DirectoryKind::Servers;
        reply(asked->first, message);
        return;
      }
    FAIL("no other proxy was asked");
  }

  std::uint64_t Revision = 0;
};

} // namespace

TEST_CASE("a change that the store tells after a newer one came from another proxy undoes nothing") {
  // Guards against servers that are taken as gone: the end of an earlier entry came last.
  BetweenStoreAndPeer it;
  it.answer(*it.take(DirectoryKind::Servers), DirectoryListing{{Fixture::server("a", 1)}, false, 9});
  it.Revision = 9;
  it.answer(*it.take(DirectoryKind::Servers), DirectoryFailure{"timed out", false});
  const auto watch = it.callAgain();
  it.tell({0, {}, 14, 50ms, false, {Fixture::server("a", 13)}});
  it.answer(watch, DirectoryChanges{{Fixture::deletedEntry("a")}, 12});
  it.advance(3s);
  CHECK(it.Known.server(TargetId("a")));
}

TEST_CASE("a list that was asked for before another proxy told all undoes nothing") {
  // Guards against servers that are taken as gone, since the list is older than they are.
  BetweenStoreAndPeer it;
  it.answer(*it.take(DirectoryKind::Servers), DirectoryFailure{"timed out", false});
  const auto list = it.callAgain();
  it.tell({0, {}, 14, 50ms, true, {Fixture::server("a", 13)}});
  it.answer(list, DirectoryListing{{}, false, 12});
  it.advance(3s);
  CHECK(it.Known.server(TargetId("a")));
}

TEST_CASE("a reply that comes after the wait for it is used if it brings news") {
  // Guards against a large configuration that is sent again and again, and thrown away each time.
  Follower it;
  const auto late = it.Asked;
  const auto from = it.Of;
  it.advance(DirectoryModule::PeerRequestWait + DirectoryModule::PeerRequestGrace);
  it.Fixture::reply(from, {late.Number, DirectoryKind::Servers, 20, 50ms, false, {Fixture::server("c", 15)}});
  CHECK(it.Known.server(TargetId("c")));
  // The other proxy answers what was asked before; it knows less.
  const auto asked = it.takeSent<ChangesRequest>();
  REQUIRE(asked);
  it.Fixture::reply(asked->first, {asked->second.Number, DirectoryKind::Servers, 12, 50ms, false, {}});
  const auto next = it.takeSent<ChangesRequest>();
  REQUIRE(next);
  CHECK(next->second.Revision == 20);
}

TEST_CASE("a reply to what this process has not asked for is not used") {
  // Guards against changes that are taken for all: the reply was meant for the process before this one.
  Fixture store;
  store.addProxies(30);
  store.reply(NodeId("n1"), {4711, DirectoryKind::Servers, 20, 50ms, false, {Fixture::server("c", 15)}});
  CHECK_FALSE(store.Known.server(TargetId("c")));
}

TEST_CASE("a proxy that has lost time with the one it follows asks the store beside the next one") {
  // Guards against waits for one proxy after the other that together are longer than the bound.
  Follower it;
  const auto first = it.Of;
  it.advance(DirectoryModule::PeerRequestWait + DirectoryModule::PeerRequestGrace);
  const auto asked = it.takeSent<ChangesRequest>();
  REQUIRE(asked);
  CHECK(asked->first != first);
  const auto call = it.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<WatchDirectory>(call->Request).Wait <= DirectoryModule::CheckWait);
  it.answer(*call, DirectoryChanges{{Fixture::server("c", 15)}, 20});
  CHECK(it.Known.server(TargetId("c")));
  // Once is enough: it goes on following.
  CHECK_FALSE(it.take(DirectoryKind::Servers));
}

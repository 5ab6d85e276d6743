// Tests of how the catalogue follows the store.

#include "directory/directorymodule.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// The module with the calls that it has sent.
class Store {
public:
  Store() { Module.onStarted(ctx()); }

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
    Module.onAnswer(ctx(), Known, {call.Call, std::move(result)});
  }

  void pass(Duration time) {
    Now += time;
    Module.onTimer(ctx(), Known);
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
  static DirectoryObject gone(const std::string &name) { return {name, true, UnreadableObject{}}; }

  DirectoryModule Module;
  Catalog Known;
  TimePoint Now{50s};

private:
  NodeConfig Self;
  Rules Allowed;
  std::mt19937_64 Random;
  Effects Out;
  std::vector<JournalEntry> Journal;
  std::uint64_t Number = 0;
  std::optional<Context> Ctx;
};

} // namespace

TEST_CASE("a list of several pages counts once it is whole") {
  Store store;
  auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  store.answer(*call, DirectoryListing{{Store::server("a", 1)}, true, 9});
  CHECK_FALSE(store.Known.listed());
  call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<ListDirectory>(call->Request).After == "a");
  store.answer(*call, DirectoryListing{{Store::server("b", 2)}, false, 9});
  CHECK(store.Known.listed());
  CHECK(store.Known.servers(DatabaseId("yard")).size() == 2);
  call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::get<WatchDirectory>(call->Request).Revision == 9);
}

TEST_CASE("a server whose entry lapsed with the store is kept until it may be taken as gone") {
  Store store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Store::server("a", 1), Store::server("b", 2)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryChanges{{Store::gone("a"), Store::gone("b")}, 11});
  store.pass(2s);
  CHECK(store.Known.server(TargetId("a")));
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Store::server("a", 12)}, 12});
  store.pass(1s);
  CHECK(store.Known.server(TargetId("a")));
  CHECK_FALSE(store.Known.server(TargetId("b")));
}

TEST_CASE("a server that announced its leaving is gone with its entry") {
  Store store;
  store.answer(*store.take(DirectoryKind::Servers),
               DirectoryListing{{Store::server("a", 1, true)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryChanges{{Store::gone("a")}, 11});
  CHECK_FALSE(store.Known.server(TargetId("a")));
}

TEST_CASE("history that is gone is made up for by a new list") {
  Store store;
  store.answer(*store.take(DirectoryKind::Servers), DirectoryListing{{Store::server("a", 1)}, false, 9});
  store.answer(*store.take(DirectoryKind::Servers), DirectoryHistoryGone{});
  const auto call = store.take(DirectoryKind::Servers);
  REQUIRE(call);
  CHECK(std::holds_alternative<ListDirectory>(call->Request));
}

TEST_CASE("a store that does not answer is asked again at growing intervals, without end") {
  Store store;
  int calls = 0;
  for (int n = 0; n < 1'000; ++n) {
    if (const auto call = store.take(DirectoryKind::Configuration)) {
      ++calls;
      store.answer(*call, DirectoryFailure{"down", true});
    }
    store.pass(10ms);
  }
  CHECK(calls >= 10);
  CHECK(calls <= 40);
}

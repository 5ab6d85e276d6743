// Tests of the registration and the listing of proxies.

#include "positions/fleetmap.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// A proxy whose calls to the store are answered by the test.
class Proxy {
public:
  Proxy() {
    Self.Node = NodeId("n1");
    Self.AvailabilityZone = AvailabilityZone("z");
    Self.PeerAddress = "10.0.0.1:1";
    Fleet.onStarted(ctx());
  }

  Context &ctx() {
    Ctx.emplace(Context{Now, Self, 1, Allowed, Random, Out, Journal, Number});
    return *Ctx;
  }

  void pass(Duration time) {
    Now += time;
    Fleet.onTimer(ctx());
  }

  /// Removes and returns the oldest call to the store with a request of type T.
  template <typename T> std::optional<std::pair<CallId, T>> takeCall() {
    for (auto it = Out.begin(); it != Out.end(); ++it) {
      const auto *call = std::get_if<DirectoryCall>(&*it);
      const auto *request = call ? std::get_if<T>(&call->Request) : nullptr;
      if (!request)
        continue;
      std::pair<CallId, T> out{call->Call, *request};
      Out.erase(it);
      return out;
    }
    return std::nullopt;
  }

  /// Answers the oldest listing. Returns whether the list was allowed to be stale.
  bool answerList(std::uint64_t revision) {
    const auto list = takeCall<ListDirectory>();
    REQUIRE(list);
    Fleet.onAnswer(ctx(), {list->first, DirectoryListing{Entries, false, revision}});
    return list->second.MayBeStale;
  }

  NodeConfig Self;
  FleetMap Fleet;
  TimePoint Now{50s};
  Effects Out;
  std::vector<DirectoryObject> Entries;

private:
  Rules Allowed;
  std::mt19937_64 Random;
  std::vector<JournalEntry> Journal;
  std::uint64_t Number = 0;
  std::optional<Context> Ctx;
};

} // namespace

TEST_CASE("a list of proxies that may be stale does not count as one of its revision") {
  // Guards against a proxy that is not asked before a promotion, since an old list lacks it.
  Proxy it;
  it.pass(2s);
  CHECK(it.answerList(30));
  CHECK(it.Fleet.listedRevision() == 0);
  it.Fleet.refresh(it.ctx());
  CHECK_FALSE(it.answerList(31));
  CHECK(it.Fleet.listedRevision() == 31);
  it.pass(31s);
  CHECK(it.answerList(32));
  CHECK(it.Fleet.listedRevision() == 0);
}

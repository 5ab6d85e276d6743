// Tests of the registration and the listing of proxies.

#include "positions/fleetmap.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

/// A proxy whose calls to the store are answered by the test.
class Proxy {
public:
  explicit Proxy(bool firstStart = true) {
    Self.FirstStart = firstStart;
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

  /// Answers the oldest write of the proxy's own entry, and returns the entry.
  ProxyEntry answerPut(decltype(DirectoryAnswer::Result) answer) {
    const auto put = takeCall<PutProxy>();
    REQUIRE(put);
    Fleet.onAnswer(ctx(), {put->first, std::move(answer)});
    return put->second.Entry;
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

const DatabaseId Yard("yard");

DirectoryObject ownEntry() {
  return {"n1", false, ProxyEntry{NodeId("n1"), AvailabilityZone("z"), "10.0.0.1:1", 1}};
}

/// The entry of another proxy that is running.
DirectoryObject otherEntry() {
  return {"n2", false, ProxyEntry{NodeId("n2"), AvailabilityZone("z"), "10.0.0.2:1", 5}};
}

/// Registers the proxy, which lists the other one twice: with its entry, and after that is gone.
void loseEntryOfOther(Proxy &it) {
  it.answerPut(ProxyStored{30});
  it.Entries = {ownEntry(), otherEntry()};
  it.pass(2s);
  it.answerList(31);
  it.Entries = {ownEntry()};
  it.pass(31s);
  it.answerList(32);
}

/// The entry of an earlier process of the node.
ProxyEntry earlierEntry(std::optional<ReportedCommits> final) {
  ProxyEntry out{NodeId("n1"), AvailabilityZone("z"), "10.0.0.1:1", 7};
  out.Final = std::move(final);
  return out;
}

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

TEST_CASE("a node that is started for the first time knows all that it has reported") {
  Proxy it;
  CHECK_FALSE(it.Fleet.knownSince());
  it.answerPut(ProxyStored{30});
  CHECK(it.Fleet.knownSince() == 0U);
}

TEST_CASE(
    "a process that finds no entry of its node knows what it has reported only since it is registered") {
  // Guards against lost commits: the entry of a process that was killed may have been lost, too.
  Proxy it(false);
  it.answerPut(ProxyStored{30});
  CHECK(it.Fleet.knownSince() == 30U);
}

TEST_CASE(
    "a process that follows a killed one knows what its node has reported only since it is registered") {
  // Guards against lost commits: its answer to a commit fence lacks what the killed process had reported.
  Proxy it;
  it.answerPut(ProxyConflict{30, earlierEntry(std::nullopt)});
  CHECK_FALSE(it.Fleet.knownSince());
  it.answerPut(ProxyStored{31});
  CHECK(it.Fleet.knownSince() == 31U);
  CHECK(it.Fleet.reportedByEnded().empty());
}

TEST_CASE("a process that follows one that ended as planned goes on with its record") {
  // Guards against lost commits that only the ended process had reported.
  Proxy it;
  it.answerPut(ProxyConflict{30, earlierEntry(ReportedCommits{4, {{Yard, {2, 9}}}})});
  it.answerPut(ProxyStored{31});
  CHECK(it.Fleet.knownSince() == 4U);
  CHECK((it.Fleet.reportedByEnded().at(Yard) == Position{2, 9}));
}

TEST_CASE("an entry that the process itself wrote without an answer is not taken for an earlier one") {
  // Guards against a record that is taken as lost after each answer of the store that is.
  Proxy it;
  it.answerPut(DirectoryFailure{"timed out"});
  it.pass(2s);
  it.answerPut(ProxyConflict{30, ProxyEntry{NodeId("n1"), AvailabilityZone("z"), "10.0.0.1:1", 1}});
  CHECK(it.Fleet.knownSince() == 0U);
  CHECK_FALSE(it.takeCall<PutProxy>());
}

TEST_CASE(
    "a proxy that ends leaves what it has reported in its entry, on condition that the entry is its own") {
  // Guards against a late call that takes the next process of the node off the list.
  Proxy it;
  it.answerPut(ProxyStored{30});
  it.Fleet.startLeaving(it.ctx(), {{Yard, {3, 8}}});
  const auto put = it.takeCall<PutProxy>();
  REQUIRE(put);
  CHECK(put->second.Revision == 30);
  REQUIRE(put->second.Entry.Final);
  CHECK((put->second.Entry.Final->UpTo.at(Yard) == Position{3, 8}));
  CHECK(put->second.Entry.Final->KnownSince == 0);
  CHECK_FALSE(it.Fleet.left(it.Now));
  it.Fleet.onAnswer(it.ctx(), {put->first, ProxyStored{33}});
  CHECK(it.Fleet.left(it.Now));
}

TEST_CASE("what a proxy that has ended reported is read from the list, and it is not asked any more") {
  Proxy it;
  it.answerPut(ProxyStored{30});
  ProxyEntry ended{NodeId("n2"), AvailabilityZone("z"), "10.0.0.2:1", 5};
  ended.Final = ReportedCommits{12, {{Yard, {2, 7}}}};
  it.Entries = {{"n2", false, ended}};
  it.pass(2s);
  it.answerList(31);
  CHECK(it.Fleet.others(NodeId("n1")).empty());
  CHECK((it.Fleet.reportedByEnded().at(Yard) == Position{2, 7}));
  CHECK(it.Fleet.endedKnownSince() == 12);
}

TEST_CASE("the entry of a proxy that ended long ago is deleted, on condition that it is still the same") {
  // Guards against entries that pile up where machines come and go.
  Proxy it;
  it.answerPut(ProxyStored{30});
  ProxyEntry ended{NodeId("n2"), AvailabilityZone("z"), "10.0.0.2:1", 5};
  ended.Final.emplace();
  ended.Revision = 28;
  const ProxyEntry self{NodeId("n1"), AvailabilityZone("z"), "10.0.0.1:1", 1};
  it.Entries = {{"n1", false, self}, {"n2", false, ended}};
  std::optional<DeleteProxy> deleted;
  for (int n = 0; n < 20 && !deleted; ++n) {
    it.pass(30s);
    it.answerList(31);
    if (const auto call = it.takeCall<DeleteProxy>())
      deleted = call->second;
    CHECK((!deleted || n >= 10));
  }
  REQUIRE(deleted);
  CHECK(deleted->Node == NodeId("n2"));
  CHECK(deleted->Revision == 28);
}

TEST_CASE("a proxy whose entry has been removed announces itself again") {
  // Guards against a living proxy that is not asked before a promotion.
  Proxy it;
  it.answerPut(ProxyStored{30});
  it.pass(2s);
  it.answerList(29);
  CHECK_FALSE(it.takeCall<PutProxy>());
  it.pass(31s);
  it.answerList(31);
  CHECK(it.takeCall<PutProxy>());
}

TEST_CASE("a proxy whose entry is gone without a final one is asked, until it can be taken as ended") {
  // Guards against a running proxy that a change of primary does not ask, since the store has lost its entry.
  Proxy it;
  loseEntryOfOther(it);
  CHECK(it.Fleet.others(NodeId("n1")) == std::vector{NodeId("n2")});
  CHECK(it.Fleet.endedKnownSince() == 0);
  it.pass(31s);
  it.answerList(33);
  it.pass(31s);
  it.answerList(34);
  CHECK(it.Fleet.others(NodeId("n1")).empty());
  CHECK(it.Fleet.endedKnownSince() == 34);
}

TEST_CASE("a proxy that has registered again after its entry was gone is not taken as ended") {
  Proxy it;
  loseEntryOfOther(it);
  it.Entries = {ownEntry(), otherEntry()};
  for (int n = 0; n < 4; ++n) {
    it.pass(31s);
    it.answerList(33);
  }
  CHECK(it.Fleet.others(NodeId("n1")) == std::vector{NodeId("n2")});
  CHECK(it.Fleet.endedKnownSince() == 0);
}

TEST_CASE("a proxy that finds its entry gone is not registered until it is stored again") {
  // Guards against commits that are reported by a proxy which a change of primary does not ask.
  Proxy it;
  it.answerPut(ProxyStored{30});
  const auto first = it.Fleet.registration();
  CHECK(first > 0);
  it.Entries = {ownEntry()};
  it.pass(6s);
  it.answerList(31);
  it.Now += 6s;
  it.Fleet.verifyEntry(it.ctx());
  const auto read = it.takeCall<ReadProxy>();
  REQUIRE(read);
  it.Fleet.onAnswer(it.ctx(), {read->first, ProxyMissing{}});
  CHECK(it.Fleet.registration() == 0);
  it.answerPut(ProxyStored{35});
  CHECK(it.Fleet.registration() > first);
  CHECK(it.Fleet.knownSince() == 0U);
}

TEST_CASE("an entry that was there a short time ago is not read again") {
  // Guards against a call to the store each time that a primary is looked at.
  Proxy it;
  it.answerPut(ProxyStored{30});
  it.Fleet.verifyEntry(it.ctx());
  CHECK_FALSE(it.takeCall<ReadProxy>());
  it.Now += 6s;
  it.Fleet.verifyEntry(it.ctx());
  const auto read = it.takeCall<ReadProxy>();
  REQUIRE(read);
  it.Fleet.onAnswer(it.ctx(), {read->first, ProxyStored{30}});
  it.Fleet.verifyEntry(it.ctx());
  CHECK_FALSE(it.takeCall<ReadProxy>());
}

TEST_CASE("a proxy that ends leaves what it has reported although its entry is gone or was written since") {
  // Guards against lost commits that only the ended process had reported.
  Proxy it;
  it.answerPut(ProxyStored{30});
  it.Fleet.startLeaving(it.ctx(), {{Yard, {3, 8}}});
  CHECK(it.answerPut(ProxyMissing{}).Final);
  const ProxyEntry own{NodeId("n1"), AvailabilityZone("z"), "10.0.0.1:1", 1};
  CHECK(it.answerPut(ProxyConflict{36, own}).Final);
  const auto put = it.takeCall<PutProxy>();
  REQUIRE(put);
  CHECK(put->second.Revision == 36);
  CHECK((put->second.Entry.Final->UpTo.at(Yard) == Position{3, 8}));
}

// Tests of position sharing between proxies.

#include "positions/positionexchange.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const DatabaseId Yard("yard");

class Proxy {
public:
  explicit Proxy(const char *name) {
    Self.Node = NodeId(name);
    Self.AvailabilityZone = AvailabilityZone("z");
    Self.PeerAddress = "10.0.0.1:1";
    Fleet.onStarted(ctx());
    DirectoryListing listing;
    for (const auto *one : {"n1", "n2", "n3"})
      listing.Objects.push_back({one, false, ProxyEntry{NodeId(one), AvailabilityZone("z"), "10.0.0.1:1"}});
    listing.Objects.push_back({"far", false, ProxyEntry{NodeId("far"), AvailabilityZone("y"), "10.0.0.9:1"}});
    Now += 2s;
    Fleet.onTimer(ctx());
    for (const auto &it : std::exchange(Out, {}))
      if (const auto *call = std::get_if<DirectoryCall>(&it);
          call && std::holds_alternative<ListDirectory>(call->Request))
        Fleet.onAnswer(ctx(), {call->Call, listing});
    Out.clear();
  }

  Context &ctx() {
    Ctx.emplace(Context{Now, Self, 1, Allowed, Random, Out, Journal, Number});
    return *Ctx;
  }

  template <typename T> std::optional<std::pair<NodeId, T>> sent() {
    for (const auto &it : std::exchange(Out, {}))
      if (const auto *send = std::get_if<SendToPeer>(&it))
        if (const auto *message = std::get_if<T>(&send->Message))
          return std::pair(send->To, *message);
    return std::nullopt;
  }

  NodeConfig Self;
  FleetMap Fleet;
  PositionExchange Exchange;
  TimePoint Now{50s};
  Effects Out;

private:
  Rules Allowed;
  std::mt19937_64 Random;
  std::vector<JournalEntry> Journal;
  std::uint64_t Number = 0;
  std::optional<Context> Ctx;
};

/// The first proxy in rendezvous order, which queries the primary itself. The other proxies query this one.
Proxy holder() {
  for (const auto *name : {"n1", "n2", "n3"}) {
    Proxy it(name);
    if (it.Fleet.order(it.Self.AvailabilityZone, Yard.str()).front() == it.Self.Node)
      return it;
  }
  return Proxy("n1");
}
Proxy asker() {
  for (const auto *name : {"n1", "n2", "n3"}) {
    Proxy it(name);
    if (it.Fleet.order(it.Self.AvailabilityZone, Yard.str()).front() != it.Self.Node)
      return it;
  }
  return Proxy("n1");
}

} // namespace

TEST_CASE("only proxies of the same availability zone are asked") {
  const Proxy it("n1");
  const auto order = it.Fleet.order(it.Self.AvailabilityZone, "key");
  CHECK(order.size() == 3);
  CHECK(std::find(order.begin(), order.end(), NodeId("far")) == order.end());
}

TEST_CASE("the first proxy in order has to ask the primary itself") {
  auto it = holder();
  CHECK_FALSE(it.Exchange.request(it.ctx(), it.Fleet, Yard));
}

TEST_CASE("a sample counts from before the request was sent, however long the answer took") {
  auto it = asker();
  REQUIRE(it.Exchange.request(it.ctx(), it.Fleet, Yard));
  const auto asked = it.Now;
  const auto request = it.sent<PositionRequest>();
  REQUIRE(request);
  it.Now += 40s; // As after a process pause or on a slow network.
  const auto sample =
      it.Exchange.onReply(it.ctx(), request->first, {request->second.Number, Yard, {1, 9}, 100ms});
  REQUIRE(sample);
  CHECK((sample->SentAt == asked - 100ms));
}

TEST_CASE("an answer to another request, or of another proxy, is no sample") {
  auto it = asker();
  REQUIRE(it.Exchange.request(it.ctx(), it.Fleet, Yard));
  const auto request = it.sent<PositionRequest>();
  REQUIRE(request);
  CHECK_FALSE(it.Exchange.onReply(it.ctx(), request->first, {request->second.Number + 1, Yard, {1, 9}, 0ms}));
  CHECK_FALSE(it.Exchange.onReply(it.ctx(), NodeId("far"), {request->second.Number, Yard, {1, 9}, 0ms}));
}

TEST_CASE("a proxy that does not answer is left alone for a while, and the next one is asked") {
  auto it = asker();
  REQUIRE(it.Exchange.request(it.ctx(), it.Fleet, Yard));
  const auto first = it.sent<PositionRequest>();
  it.Now += PositionExchange::ReplyTimeout;
  CHECK_FALSE(it.Exchange.request(it.ctx(), it.Fleet, Yard));
  if (it.Exchange.request(it.ctx(), it.Fleet, Yard)) {
    const auto second = it.sent<PositionRequest>();
    REQUIRE(second);
    CHECK(second->first != first->first);
  }
}

TEST_CASE("a young sample is passed on at once with its age, an old one is not") {
  auto it = holder();
  it.Exchange.onRequest(it.ctx(), NodeId("n9"), {5, Yard},
                        PositionSample{Yard, {1, 9}, it.Now - 100ms, it.Now - 120ms});
  const auto reply = it.sent<PositionReply>();
  REQUIRE(reply);
  CHECK((reply->second.Age == Duration(100ms)));
  CHECK((reply->second.ConfirmationAge == Duration(120ms)));
  it.Exchange.onRequest(it.ctx(), NodeId("n9"), {6, Yard},
                        PositionSample{Yard, {1, 9}, it.Now - 1s, it.Now - 1s});
  CHECK_FALSE(it.sent<PositionReply>());
  CHECK(it.Exchange.servicesWithRequesters(it.Now).size() == 1);
  it.Exchange.onSample(it.ctx(), {Yard, {1, 12}, it.Now - 20ms});
  const auto late = it.sent<PositionReply>();
  REQUIRE(late);
  CHECK(late->second.Number == 6);
  CHECK(it.Exchange.servicesWithRequesters(it.Now).empty());
}

TEST_CASE("a sample of a primary that was not confirmed lately is not passed on") {
  auto it = holder();
  it.Exchange.onRequest(it.ctx(), NodeId("n9"), {5, Yard},
                        PositionSample{Yard, {1, 9}, it.Now - 100ms, it.Now - PrimaryLease::Length});
  CHECK_FALSE(it.sent<PositionReply>());
}

TEST_CASE("a proxy announces itself and lists the others again after a restoration of the store") {
  // Guards against proxies that others no longer find: the older copy lacks the entries written since.
  Proxy proxy("n1");
  proxy.Now += 10s;
  proxy.Fleet.onStoreRestored(proxy.ctx());
  bool announced = false;
  bool listed = false;
  for (int n = 0; n < 30; ++n) {
    proxy.Now += 100ms;
    proxy.Fleet.onTimer(proxy.ctx());
    for (const auto &it : std::exchange(proxy.Out, {})) {
      const auto *call = std::get_if<DirectoryCall>(&it);
      announced = announced || (call && std::holds_alternative<PutProxy>(call->Request));
      listed = listed || (call && std::holds_alternative<ListDirectory>(call->Request));
    }
  }
  CHECK(announced);
  CHECK(listed);
}

TEST_CASE("after a restoration of the store, a large fleet does not announce itself all at once") {
  // Guards against refused calls: all proxies of the fleet together may make some hundred writes a second.
  Proxy proxy("n1");
  proxy.Now += 40s;
  proxy.Fleet.onTimer(proxy.ctx());
  DirectoryListing listing;
  for (int n = 0; n < 1'000; ++n) {
    const NodeId node("p" + std::to_string(n));
    listing.Objects.push_back({node.str(), false, ProxyEntry{node, AvailabilityZone("z"), "10.0.0.1:1"}});
  }
  for (const auto &it : std::exchange(proxy.Out, {}))
    if (const auto *call = std::get_if<DirectoryCall>(&it))
      proxy.Fleet.onAnswer(proxy.ctx(), {call->Call, listing});
  REQUIRE(proxy.Fleet.size() > 1'000);
  int early = 0;
  for (int n = 0; n < 100; ++n) {
    proxy.Fleet.onStoreRestored(proxy.ctx());
    if (*proxy.Fleet.nextTimer() - proxy.Now < 500ms)
      ++early;
  }
  CHECK(early < 30);
}

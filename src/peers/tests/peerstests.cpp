// Tests of the transport between proxies, on loopback.

#include "peers/peers.h"

#include "metrics/metrics.h"
#include "peers/peercodec.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <doctest/doctest.h>

using namespace rosemaryhinge;
using asio::ip::tcp;

namespace {

struct Node {
  Metrics Counters;
  std::vector<Event> Events;
  std::unique_ptr<IPeers> Peers;

  Node(asio::io_context &io, const char *name, PeerOptions options = {}) {
    options.Self = NodeId(name);
    options.Listen = {"127.0.0.1", 0};
    options.ConnectTimeout = std::chrono::milliseconds(300);
    options.RetryPause = std::chrono::milliseconds(20);
    options.SweepInterval = std::chrono::milliseconds(20);
    Peers = makePeers(
        io, options, [this](Event event) { Events.push_back(std::move(event)); }, Counters);
  }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(Peers->port()); }
  template <typename T> std::vector<T> all() const {
    std::vector<T> out;
    for (const auto &it : Events)
      if (const auto *one = std::get_if<T>(&it))
        out.push_back(*one);
    return out;
  }
  [[nodiscard]] double dropped(const std::string &why) const {
    return Counters.value("peer_frames_dropped_total{why=\"" + why + "\"}");
  }
};

/// Sends raw bytes to a node and reports whether it closed the connection.
bool closesAfter(asio::io_context &io, const Node &node, const std::string &bytes,
                 std::chrono::milliseconds time = std::chrono::milliseconds(200)) {
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), node.Peers->port()});
  asio::write(socket, asio::buffer(bytes));
  bool closed = false;
  char byte = 0;
  socket.async_read_some(asio::buffer(&byte, 1), [&](std::error_code ec, std::size_t) {
    closed = ec != asio::error::operation_aborted;
  });
  io.restart();
  io.run_for(time);
  const bool out = closed;
  socket.close();
  io.run_for(std::chrono::milliseconds(10));
  return out;
}

std::string lengthOf(std::uint32_t size) {
  std::string out(PeerLengthBytes, '\0');
  std::memcpy(out.data(), &size, PeerLengthBytes);
  return out;
}

std::string frameFor(const char *to, const PeerMessage &message) {
  return encodePeer({NodeId("x"), NodeId(to), message, {}});
}

} // namespace

TEST_CASE("messages arrive once and in order, and an answer finds its way to a new node") {
  asio::io_context io;
  Node a(io, "a");
  Node b(io, "b");
  a.Peers->setAddress({NodeId("b"), b.address()});
  for (std::uint64_t n = 1; n <= 200; ++n)
    a.Peers->send({NodeId("b"), SettingsRequest{n}});
  io.run_for(100ms);
  const auto got = b.all<PeerReceived>();
  REQUIRE(got.size() == 200);
  for (std::uint64_t n = 0; n < 200; ++n)
    CHECK(std::get<SettingsRequest>(got[n].Message).KnownRevision == n + 1);
  CHECK(got[0].From == NodeId("a"));
  CHECK(a.Peers->pending() == 0);
  // "a" advertises no address here, so "b" has to be told.
  b.Peers->setAddress({NodeId("a"), a.address()});
  b.Peers->send({NodeId("a"), JournalAck{1}});
  io.run_for(50ms);
  CHECK(a.all<PeerReceived>().size() == 1);
}

TEST_CASE("a peer that cannot be reached is reported as lost") {
  asio::io_context io;
  Node a(io, "a");
  a.Peers->send({NodeId("nowhere"), MembersRequest{}});
  io.run_for(10ms);
  CHECK(a.all<PeerLost>().size() == 1);
  std::string address;
  {
    Node gone(io, "b");
    address = gone.address();
    gone.Peers->stop();
    io.run_for(10ms);
  }
  a.Peers->setAddress({NodeId("b"), address});
  a.Peers->send({NodeId("b"), MembersRequest{}});
  io.run_for(100ms);
  CHECK(a.all<PeerLost>().size() == 2);
}

TEST_CASE("a peer that dies is reported as lost on both connections, and reached again after its restart") {
  asio::io_context io;
  Node a(io, "a");
  auto b = std::make_unique<Node>(io, "b");
  a.Peers->setAddress({NodeId("b"), b->address()});
  a.Peers->send({NodeId("b"), MembersRequest{}});
  io.run_for(50ms);
  b->Peers->stop();
  io.run_for(50ms);
  CHECK(a.all<PeerLost>().size() == 1);
  Node again(io, "b");
  a.Peers->setAddress({NodeId("b"), again.address()});
  a.Peers->send({NodeId("b"), MembersRequest{}});
  io.run_for(50ms);
  CHECK(again.all<PeerReceived>().size() == 1);
}

// Guards answer_matching: a node that took over an address must not take its predecessor's messages.
TEST_CASE("frames for another node, of another protocol or malformed are counted and dropped") {
  asio::io_context io;
  Node a(io, "a");
  CHECK(!closesAfter(io, a, frameFor("other", JournalAck{1}) + frameFor("a", JournalAck{2})));
  CHECK(a.dropped("other_node") == 1);
  REQUIRE(a.all<PeerReceived>().size() == 1);
  CHECK(std::get<JournalAck>(a.all<PeerReceived>()[0].Message).Batch == 2);
  CHECK(closesAfter(io, a, lengthOf(40) + std::string(40, 'x') + frameFor("a", JournalAck{3})));
  CHECK(a.dropped("malformed") == 1);
  CHECK(closesAfter(io, a, lengthOf(MaxPeerFrame + 1)));
  CHECK(a.dropped("too_large") == 1);
  CHECK(a.all<PeerReceived>().size() == 1);
}

TEST_CASE("a slow sender and half a frame do not hold a connection") {
  asio::io_context io;
  PeerOptions options;
  options.FrameTimeout = std::chrono::milliseconds(50);
  Node a(io, "a", options);
  const auto frame = frameFor("a", JournalAck{1});
  CHECK(closesAfter(io, a, frame + frame.substr(0, frame.size() - 1)));
  CHECK(a.dropped("slow_sender") == 1);
  CHECK(a.all<PeerReceived>().size() == 1);
  CHECK(!closesAfter(io, a, frame.substr(0, 3), std::chrono::milliseconds(20)));
  CHECK(a.dropped("half_frame") == 1);
}

TEST_CASE("an idle connection and connections beyond the bound are closed") {
  asio::io_context io;
  PeerOptions options;
  options.IdleTimeout = std::chrono::milliseconds(50);
  options.MaxInbound = 1;
  Node a(io, "a", options);
  tcp::socket first(io);
  first.connect({asio::ip::make_address("127.0.0.1"), a.Peers->port()});
  io.run_for(10ms);
  CHECK(closesAfter(io, a, "", std::chrono::milliseconds(30)));
  CHECK(a.Counters.value("peer_connections_refused_total") == 1);
  io.restart();
  io.run_for(150ms);
  CHECK(!closesAfter(io, a, "", std::chrono::milliseconds(10)));
}

// Guards against memory that grows behind a peer that does not read.
TEST_CASE("a queue beyond its bound is dropped and the peer reported as lost") {
  asio::io_context io;
  PeerOptions options;
  options.MaxQueuedBytes = 100'000;
  Node a(io, "a", options);
  Node b(io, "b");
  a.Peers->setAddress({NodeId("b"), b.address()});
  for (int n = 0; n < 20; ++n)
    a.Peers->send({NodeId("b"), ObjectChanged{"k", 1, std::string(10'000, 'x')}});
  CHECK(a.Peers->pending() < 12);
  io.run_for(50ms);
  CHECK(a.all<PeerLost>().size() == 1);
}

// Guards true_not_run: an answer that does not fit must not end as a lost request that looks not run.
TEST_CASE("an answer beyond the frame limit becomes a refusal that says the request ran") {
  asio::io_context io;
  Node a(io, "a");
  Node b(io, "b");
  a.Peers->setAddress({NodeId("b"), b.address()});
  Success large;
  large.Results = {{{"c"}, {{std::string(MaxPeerFrame, 'x')}}, 1}};
  a.Peers->send({NodeId("b"), ForwardAnswer{RequestId{9}, large}});
  io.run_for(50ms);
  const auto got = b.all<PeerReceived>();
  REQUIRE(got.size() == 1);
  const auto &answer = std::get<ForwardAnswer>(got[0].Message);
  CHECK(answer.Id == RequestId{9});
  CHECK((std::get<Refusal>(answer.Answer).Reason == RefusalReason::LostAnswer));
  CHECK((std::get<Refusal>(answer.Answer).Ran == Ran::Ran));
}

// Tests of the commit fence of a change of primary: at a proxy that another one has asked to raise it, and at
// the proxy that changes the primary.

#include "reducer/tests/servicemodel.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const DatabaseId Yard("yard");
const TargetId Primary("p");
const NodeId Holder("n2"); ///< Holds the claim where this proxy does not.
const NodeId Other("n3");
constexpr std::uint64_t Token = 41;

/// Asks the proxy to raise the fence against the commits of p up to term 1.
void fence(SessionHarness &proxy, std::uint64_t token = Token, Term stepDownFor = 0) {
  proxy.receive(Holder, CommitFenceRequest{Yard, token, TargetId(), 1, Primary, stepDownFor});
}
void endFence(SessionHarness &proxy, const TargetId &promoted = TargetId()) {
  proxy.receive(Holder, CommitFenceEnd{Yard, Token, promoted});
}

std::optional<CommitFenceReply> fenceReply(SessionHarness &proxy) {
  const auto sent = proxy.takeMessage<CommitFenceReply>();
  return sent && sent->first == Holder ? std::optional(sent->second) : std::nullopt;
}

/// The outcome that the caller has been told for a statement; empty if none.
std::optional<StatementOutcome> outcomeOf(SessionHarness &proxy, const std::string &statement) {
  while (auto it = proxy.take<AnswerStatement>())
    if (it->StatementId == statement)
      return std::move(it->Outcome);
  return std::nullopt;
}

bool rejectedAs(const std::optional<StatementOutcome> &outcome, Rejection code) {
  const auto *why = outcome ? std::get_if<StatementRejection>(&*outcome) : nullptr;
  return why && why->Code == code;
}

bool succeeded(const std::optional<StatementOutcome> &outcome) {
  return outcome && std::holds_alternative<StatementResultRows>(*outcome);
}

/// Sends a write of a new session, opens the link to p for it if one is needed, and returns the link on which
/// it was sent; empty if it was not sent.
std::optional<LinkId> sendWrite(SessionHarness &proxy, const std::string &statement) {
  proxy.write(proxy.open("settle"), statement);
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkOpened{open->Link});
  while (const auto sent = proxy.take<SendOnLink>())
    if (const auto *run = SessionHarness::command<RunStatement>(*sent); run && run->StatementId == statement)
      return sent->Link;
  return std::nullopt;
}

/// Opens a transaction with an answered write at p, and returns its link.
LinkId openTransaction(SessionHarness &proxy, SessionId session) {
  proxy.send(session, "b", BeginStatement{});
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  REQUIRE(target == Primary);
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  REQUIRE(succeeded(outcomeOf(proxy, "w1")));
  proxy.Out.clear();
  return link;
}

/// Whether a statement of this id was sent to any server.
bool wasSent(SessionHarness &proxy, const std::string &statement) {
  while (const auto sent = proxy.take<SendOnLink>())
    for (const auto &it : sent->Commands)
      if (const auto *run = std::get_if<RunStatement>(&it); run && run->StatementId == statement)
        return true;
  return false;
}

/// A service whose primary p does not reach the proxy, and whose replicas have received less than p.
ServiceModel serviceWithLostPrimary() {
  ServiceModel out;
  out.Servers["p"].ReachesProxy = false;
  out.Servers["p"].Log = {1, 30};
  out.Servers["b"].Log = {1, 20};
  out.Acknowledged = {1, 20};
  return out;
}

/// The other proxies of a fleet, as far as the proxy that changes the primary hears of them.
struct Peers {
  std::map<NodeId, Position> Acknowledged; ///< Of the proxies that answer.
  std::map<NodeId, TimePoint> AskedAt;     ///< When each got the first request.
  /// Since when the records of some are kept; of the others, since their first start.
  std::map<NodeId, std::uint64_t> KnownSince;
  std::map<NodeId, UnreportedCommits> Unreported;
  std::map<NodeId, StepDownState> StepDown;

  void answer(SessionHarness &proxy) {
    while (const auto request = proxy.takeMessage<CommitFenceRequest>()) {
      const auto &[node, asked] = *request;
      AskedAt.try_emplace(node, proxy.Now);
      if (const auto it = Acknowledged.find(node); it != Acknowledged.end())
        proxy.receive(node, replyOf(node, asked.Token));
    }
  }

  /// What a proxy tells of itself, without a request.
  void update(SessionHarness &proxy, const NodeId &node) {
    auto reply = replyOf(node, LastToken);
    reply.Update = true;
    proxy.receive(node, reply);
  }

private:
  CommitFenceReply replyOf(const NodeId &node, std::uint64_t token) {
    LastToken = token;
    return {Yard, token, Acknowledged[node], KnownSince[node], Unreported[node], StepDown[node]};
  }

  std::uint64_t LastToken = 0;
};

/// Plays until the proxy orders a promotion, at most for a time.
std::optional<PromotionCall> awaitOrder(ServiceModel &service, SessionHarness &proxy, Peers &peers,
                                        Duration limit) {
  const auto end = proxy.Now + limit;
  while (proxy.Now < end && service.Orders.empty()) {
    service.playWithCallers(proxy, 20ms);
    peers.answer(proxy);
  }
  return service.Orders.empty() ? std::nullopt : std::optional(service.Orders.front());
}

/// Plays until the proxy has asked the other ones to raise the fence.
void playToFence(ServiceModel &service, SessionHarness &proxy, Peers &peers) {
  for (int n = 0; n < 300 && peers.AskedAt.empty(); ++n) {
    service.playWithCallers(proxy, 20ms);
    peers.answer(proxy);
  }
  REQUIRE_FALSE(peers.AskedAt.empty());
}

/// The terms for which p is ordered to step down, with the links of the orders. Opens links that are asked
/// for.
std::vector<std::pair<LinkId, Term>> takeStepDowns(SessionHarness &proxy) {
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkOpened{open->Link});
  std::vector<std::pair<LinkId, Term>> out;
  while (const auto sent = proxy.take<SendOnLink>())
    if (const auto *stepDown = SessionHarness::command<StepDownPrimary>(*sent);
        stepDown && proxy.Logic.Links.targetOf(sent->Link) == Primary)
      out.emplace_back(sent->Link, stepDown->Term);
  return out;
}

/// Answers a status query or an order to p.
void answerStatus(SessionHarness &proxy, LinkId link, TargetRole role, Term raised) {
  const TargetStatus status{role, raised, {1, 40}, {}, false, {}};
  proxy.apply(LinkReplied{link, SessionHarness::done(), TransactionState::Idle, Position{1, 40}, status});
}

} // namespace

TEST_CASE("a write that was in flight when the fence was raised is answered as in doubt") {
  // Guards against lost commits: the promoted server may lack what the former primary has acknowledged since.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  fence(proxy);
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
}

TEST_CASE("a write that arrives while fenced is not sent to the former primary, and is once the fence ends") {
  // Guards against writes that take effect only to be answered as in doubt.
  SessionHarness proxy;
  REQUIRE(sendWrite(proxy, "w1"));
  fence(proxy);
  CHECK_FALSE(sendWrite(proxy, "w2"));
  proxy.pass(300ms);
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkOpened{open->Link});
  CHECK_FALSE(wasSent(proxy, "w2"));
  endFence(proxy);
  proxy.pass(100ms);
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkOpened{open->Link});
  CHECK(wasSent(proxy, "w2"));
}

TEST_CASE("a commit of an open transaction at the former primary is refused as aborted, and not sent") {
  // Guards against a commit in doubt where the transaction can still be rolled back.
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  openTransaction(proxy, session);
  fence(proxy);
  proxy.send(session, "c", CommitStatement{});
  CHECK_FALSE(wasSent(proxy, "c"));
  CHECK(rejectedAs(outcomeOf(proxy, "c"), Rejection::Aborted));
}

TEST_CASE("after the end of a fence without a promotion, the former primary's commits are reported again") {
  // Guards against a service that answers every write as in doubt after a change that was given up.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  fence(proxy);
  endFence(proxy);
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(succeeded(outcomeOf(proxy, "w1")));
}

TEST_CASE("after a promotion, a late acknowledgement of the former primary is answered as in doubt") {
  // Guards against lost commits: the promoted server was chosen without what the former primary answers late.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  fence(proxy);
  endFence(proxy, TargetId("a"));
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
}

TEST_CASE("a fence request of an older claim has no reply, and does not loosen the fence") {
  // Guards against a holder that has lost its claim, and counts this proxy as fenced for its own choice.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  fence(proxy);
  REQUIRE(fenceReply(proxy));
  proxy.receive(Other, CommitFenceRequest{Yard, Token - 1, TargetId("p"), 0, TargetId("a"), 0});
  CHECK_FALSE(proxy.takeMessage<CommitFenceReply>());
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
}

TEST_CASE("the reply to a fence request names the highest position that was reported") {
  // Guards against lost commits: without it, a server that lacks this proxy's commits is promoted.
  SessionHarness proxy;
  for (const Lsn lsn : {33, 31}) {
    const auto link = sendWrite(proxy, "w" + std::to_string(lsn));
    REQUIRE(link);
    proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, lsn});
  }
  const auto withheld = sendWrite(proxy, "w40");
  REQUIRE(withheld);
  fence(proxy);
  const auto reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK((reply->Acknowledged == Position{1, 33}));
  CHECK(reply->Token == Token);
  // What the fence withholds was not reported.
  proxy.reply(*withheld, SessionHarness::done(), TransactionState::Idle, Position{1, 40});
  fence(proxy, Token + 1);
  const auto renewed = fenceReply(proxy);
  REQUIRE(renewed);
  CHECK((renewed->Acknowledged == Position{1, 33}));
}

TEST_CASE("a proxy that reaches the former primary orders it to step down for the one that changes it") {
  // Guards against a former primary that serves on beside the promoted server.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 30});
  proxy.Out.clear();
  std::optional<Term> ordered;
  for (std::uint64_t n = 0; n < 3 && !ordered; ++n) {
    fence(proxy, Token + n, 5);
    while (const auto open = proxy.take<OpenLink>())
      proxy.apply(LinkOpened{open->Link});
    while (const auto sent = proxy.take<SendOnLink>())
      if (const auto *stepDown = SessionHarness::command<StepDownPrimary>(*sent)) {
        CHECK(proxy.Logic.Links.targetOf(sent->Link) == Primary);
        ordered = stepDown->Term;
      }
    const auto reply = fenceReply(proxy);
    REQUIRE(reply);
    CHECK((reply->Acknowledged == Position{1, 30}));
    proxy.pass(100ms);
  }
  REQUIRE(ordered);
  CHECK(*ordered == 5);
}

TEST_CASE("commits of the server that is promoted are reported while the fence is raised") {
  // Guards against a service that answers every write as in doubt until the end of the fence.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  proxy.receive(Holder, CommitFenceRequest{Yard, Token, Primary, 1, Primary, 0});
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{2, 9});
  CHECK(succeeded(outcomeOf(proxy, "w1")));
}

TEST_CASE("a commit that was sent before the process was suspended is answered as in doubt") {
  // Guards against lost commits: a suspended process does not hear of a fence.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  proxy.Now += SessionsModule::MaxEventGap;
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
}

TEST_CASE("a position that another proxy has reported is awaited until a server that holds it is listed") {
  // Guards against lost commits: a server was promoted that lacked the commits of another proxy.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  service.Acknowledged = {1, 30};
  Peers peers;
  peers.Acknowledged[Holder] = {1, 30};
  playToFence(service, proxy, peers);
  CHECK_FALSE(awaitOrder(service, proxy, peers, 3s));
  service.join("c");
  service.Servers["c"].Log = {1, 30};
  const auto order = awaitOrder(service, proxy, peers, 10s);
  REQUIRE(order);
  CHECK(order->Target == TargetId("c"));
  service.playWithCallers(proxy, 1s);
  CHECK_FALSE(service.LostCommits);
}

TEST_CASE("no server is promoted before each listed proxy has answered the fence") {
  // Guards against lost commits: a proxy without the fence reported commits while the server was chosen.
  SessionHarness proxy;
  proxy.joinFleet({"n2", "n3"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  playToFence(service, proxy, peers);
  CHECK(peers.AskedAt.size() == 2);
  CHECK_FALSE(awaitOrder(service, proxy, peers, 200ms));
  peers.Acknowledged[Other] = {1, 20};
  const auto order = awaitOrder(service, proxy, peers, 180ms);
  REQUIRE(order);
  CHECK(order->Target == TargetId("b"));
}

TEST_CASE("a running proxy whose entry is gone is asked before a promotion") {
  // Guards against lost commits: a late deletion took a proxy off the list that reports commits.
  SessionHarness proxy;
  proxy.joinFleet({"n2", "n3"});
  proxy.removeEntry("n3");
  auto service = serviceWithLostPrimary();
  service.Acknowledged = {1, 30};
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  peers.Acknowledged[Other] = {1, 30};
  CHECK_FALSE(awaitOrder(service, proxy, peers, 5s));
  CHECK(peers.AskedAt.contains(Other));
  CHECK_FALSE(service.LostCommits);
}

TEST_CASE("a proxy that has reported commits looks for its own entry once the primary does not answer") {
  // Guards against lost commits: a proxy that nobody has listed is not asked, and does not notice in time.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  proxy.pass(10s);
  CHECK_FALSE(proxy.takeReadProxy());
  proxy.write(proxy.open("settle"), "w2");
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkClosed{open->Link, LinkFailure::Refused});
  proxy.pass(1s);
  CHECK(proxy.takeReadProxy());
}

TEST_CASE("a proxy that a notice in the store names raises the fence and answers in its entry") {
  // Guards against lost commits of a proxy that is cut off from the others and not from the primary.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  const auto inFlight = sendWrite(proxy, "w2");
  REQUIRE(inFlight);
  const auto notice = [&](const NodeId &node) {
    return DirectoryObject{"yard", false, FenceNotice{Yard, Token, 1, {node}, false, TargetId()}};
  };
  proxy.HoldAnnouncement = true;
  proxy.answerList(DirectoryKind::FenceNotices, {notice(Other)});
  CHECK_FALSE(proxy.takePutProxy());
  proxy.answerWatch(DirectoryKind::FenceNotices, {notice(NodeId("n1"))}, 21);
  const auto written = proxy.takePutProxy();
  REQUIRE(written);
  REQUIRE(written->Entry.FenceAnswers.contains(Yard));
  CHECK(written->Entry.FenceAnswers.at(Yard).Token == Token);
  CHECK((written->Entry.FenceAnswers.at(Yard).Acknowledged == Position{1, 9}));
  proxy.reply(*inFlight, SessionHarness::done(), TransactionState::Idle, Position{1, 10});
  CHECK(rejectedAs(outcomeOf(proxy, "w2"), Rejection::InDoubt));
}

TEST_CASE("a proxy that does not answer by a message is asked through the store") {
  // Guards against lost commits of a proxy that is cut off from the one that changes the primary.
  SessionHarness proxy;
  proxy.joinFleet({"n2", "n3"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  std::optional<FenceNotice> notice;
  for (int n = 0; n < 300 && !notice; ++n) {
    service.playWithCallers(proxy, 20ms);
    peers.answer(proxy);
    notice = proxy.takeNotice();
  }
  REQUIRE(notice);
  CHECK(notice->Unanswered == std::vector{Other});
  CHECK((proxy.Now - peers.AskedAt.at(Other) <= 200ms));
}

TEST_CASE("a proxy that does not answer the fence delays the promotion by the wait, and no longer") {
  // Guards against a service without a primary because the proxy of a lost availability zone is still listed.
  SessionHarness proxy;
  proxy.joinFleet({"n2", "n3"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  playToFence(service, proxy, peers);
  const auto order = awaitOrder(service, proxy, peers, 2s);
  REQUIRE(order);
  CHECK(order->Target == TargetId("b"));
  CHECK((proxy.Now - peers.AskedAt.at(Other) >= 400ms));
  CHECK((proxy.Now - peers.AskedAt.at(Other) <= 600ms));
}

TEST_CASE("servers that are away are not passed over on the word of a proxy that was killed and is back") {
  // Guards against lost commits: the process that had reported them was killed, and its successor knows none.
  const auto ordered = [](std::uint64_t knownSince) {
    SessionHarness proxy;
    proxy.joinFleet({"n2"});
    auto service = serviceWithLostPrimary();
    service.Servers["a"].ReachesProxy = false;
    service.Servers["a"].Log = {1, 30};
    Peers peers;
    peers.Acknowledged[Holder] = {};
    peers.KnownSince[Holder] = knownSince;
    return awaitOrder(service, proxy, peers, 3s).has_value();
  };
  CHECK_FALSE(ordered(35));
  CHECK(ordered(0));
}

TEST_CASE("an answer to the fence of an earlier claim does not count for a later one") {
  // Guards against lost commits: the fence that was answered may have ended before the later one was raised.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  playToFence(service, proxy, peers);
  proxy.receive(Holder, CommitFenceReply{Yard, 1, {1, 20}});
  CHECK_FALSE(awaitOrder(service, proxy, peers, 200ms));
}

TEST_CASE("a list of servers older than the claim is refreshed before a server is chosen") {
  // Guards against lost commits: the only server that held them had been listed since.
  SessionHarness proxy;
  proxy.joinFleet({});
  auto service = serviceWithLostPrimary();
  service.Acknowledged = {1, 30};
  service.WatchesSilent = true;
  service.playWithCallers(proxy, 100ms);
  service.join("c");
  Peers peers;
  const auto order = awaitOrder(service, proxy, peers, 6s);
  REQUIRE(order);
  CHECK(order->Target == TargetId("c"));
  service.playWithCallers(proxy, 1s);
  CHECK_FALSE(service.LostCommits);
}

TEST_CASE("a replica gets the same order again only after a while, however long the change waits for a log") {
  // Guards against a load of orders on a server that has to recover: each answer was followed by the next
  // one.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  service.end(proxy, "a", false);
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  // Its record does not cover the term, so that the server that ended has to be compared.
  peers.KnownSince[Holder] = 1'000;
  CHECK_FALSE(awaitOrder(service, proxy, peers, 8s));
  const auto &paused = service.PausedAt["b"];
  CHECK_FALSE(paused.empty());
  for (std::size_t n = 1; n < paused.size(); ++n)
    CHECK(paused[n] - paused[n - 1] >= 100ms);
}

TEST_CASE("the reply to a fence request tells what a server acknowledged although its caller was not told") {
  // Guards against a promoted server that lacks a commit which a server has acknowledged.
  SessionHarness proxy;
  const auto withheld = sendWrite(proxy, "w1");
  REQUIRE(withheld);
  fence(proxy);
  const auto before = fenceReply(proxy);
  REQUIRE(before);
  CHECK((before->Unreported.Acknowledged == Position{}));
  proxy.reply(*withheld, SessionHarness::done(), TransactionState::Idle, Position{1, 40});
  REQUIRE(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
  fence(proxy, Token + 1);
  const auto reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK((reply->Acknowledged == Position{}));
  CHECK((reply->Unreported == UnreportedCommits{{1, 40}, false}));
}

TEST_CASE("the reply to a fence request tells of commits in flight, and of those whose answer was lost") {
  // Guards against passing over a server that may still acknowledge them, or has done so.
  SessionHarness proxy;
  const auto answered = sendWrite(proxy, "w0");
  REQUIRE(answered);
  proxy.reply(*answered, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  fence(proxy);
  auto reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK_FALSE(reply->Unreported.Unanswered);
  endFence(proxy);
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  fence(proxy, Token + 1);
  reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK(reply->Unreported.Unanswered);
  proxy.apply(LinkClosed{*link, LinkFailure::Lost});
  REQUIRE(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
  fence(proxy, Token + 2);
  reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK(reply->Unreported.Unanswered);
  // Only commits at the former primary count.
  proxy.receive(Holder, CommitFenceRequest{Yard, Token + 3, Primary, 1, TargetId("a"), 0});
  reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK_FALSE(reply->Unreported.Unanswered);
}

TEST_CASE("the holder is told without a request what became of commits in flight, once") {
  // Guards against a choice that lacks what was acknowledged between two requests, 1 s apart.
  SessionHarness proxy;
  const auto link = sendWrite(proxy, "w1");
  REQUIRE(link);
  fence(proxy);
  REQUIRE(fenceReply(proxy));
  proxy.pass(300ms);
  CHECK_FALSE(proxy.takeMessage<CommitFenceReply>());
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 40});
  proxy.pass(20ms);
  const auto update = fenceReply(proxy);
  REQUIRE(update);
  CHECK(update->Update);
  CHECK(update->Token == Token);
  CHECK((update->Unreported == UnreportedCommits{{1, 40}, false}));
  proxy.pass(300ms);
  CHECK_FALSE(proxy.takeMessage<CommitFenceReply>());
}

TEST_CASE("the step-down is ordered at intervals until the former primary confirms it, and then reported") {
  // Guards against a former primary that serves on since one order was lost or refused.
  SessionHarness proxy;
  const auto write = sendWrite(proxy, "w1");
  REQUIRE(write);
  proxy.reply(*write, SessionHarness::done(), TransactionState::Idle, Position{1, 30});
  fence(proxy, Token, 5);
  const auto reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK(reply->StepDown == StepDownState::Ordered);
  std::vector<TimePoint> ordered;
  for (int n = 0; n < 100 && ordered.size() < 3; ++n) {
    for (const auto &[link, term] : takeStepDowns(proxy)) {
      CHECK(term == 5);
      ordered.push_back(proxy.Now);
      if (ordered.size() < 3)
        answerStatus(proxy, link, TargetRole::Primary, 1);
      else
        answerStatus(proxy, link, TargetRole::Replica, 5);
    }
    if (ordered.size() < 3)
      CHECK_FALSE(proxy.takeMessage<CommitFenceReply>());
    proxy.pass(20ms);
  }
  REQUIRE(ordered.size() == 3);
  for (std::size_t n = 1; n < ordered.size(); ++n) {
    CHECK(ordered[n] - ordered[n - 1] >= 100ms);
    CHECK(ordered[n] - ordered[n - 1] <= 250ms);
  }
  const auto update = fenceReply(proxy);
  REQUIRE(update);
  CHECK(update->Update);
  CHECK(update->StepDown == StepDownState::SteppedDown);
  for (int n = 0; n < 20; ++n) {
    CHECK(takeStepDowns(proxy).empty());
    proxy.pass(20ms);
  }
}

TEST_CASE("a proxy that a notice in the store names orders the former primary to step down") {
  // Guards against a former primary that serves on since the only proxy that reaches it gets no message.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  const auto write = sendWrite(proxy, "w1");
  REQUIRE(write);
  proxy.reply(*write, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  const auto inFlight = sendWrite(proxy, "w2");
  REQUIRE(inFlight);
  proxy.HoldAnnouncement = true;
  proxy.answerList(DirectoryKind::FenceNotices, {});
  proxy.answerWatch(
      DirectoryKind::FenceNotices,
      {{"yard", false, FenceNotice{Yard, Token, 1, {NodeId("n1")}, false, TargetId(), Primary, 5}}}, 21);
  const auto written = proxy.takePutProxy();
  REQUIRE(written);
  CHECK((written->Entry.FenceAnswers.at(Yard).Unreported == UnreportedCommits{{1, 9}, true}));
  std::vector<std::pair<LinkId, Term>> ordered;
  for (int n = 0; n < 25 && ordered.empty(); ++n) {
    ordered = takeStepDowns(proxy);
    proxy.pass(20ms);
  }
  REQUIRE(ordered.size() == 1);
  CHECK(ordered.front().second == 5);
}

TEST_CASE("no server is promoted while a proxy is about to stop the former primary, for 800 ms at most") {
  // Guards against commits that the former primary acknowledges between the choice and the promotion.
  const auto orderedAfter = [](StepDownState stepDown, bool unanswered) {
    SessionHarness proxy;
    proxy.joinFleet({"n2"});
    auto service = serviceWithLostPrimary();
    Peers peers;
    peers.Acknowledged[Holder] = {1, 20};
    peers.Unreported[Holder] = {{}, unanswered};
    peers.StepDown[Holder] = stepDown;
    const auto order = awaitOrder(service, proxy, peers, 6s);
    REQUIRE(order);
    CHECK(order->Target == TargetId("b"));
    return proxy.Now - peers.AskedAt.at(Holder);
  };
  const auto waited = orderedAfter(StepDownState::Ordered, true);
  CHECK(waited >= 800ms);
  CHECK(waited <= 1s);
  CHECK(orderedAfter(StepDownState::NotOrdered, true) <= 400ms);
  CHECK(orderedAfter(StepDownState::Ordered, false) <= 400ms);
}

TEST_CASE(
    "once a proxy has stopped the former primary, the promotion is ordered without the rest of the wait") {
  // Guards against 800 ms without a primary in each change beside a proxy that reaches the former one.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  peers.Unreported[Holder] = {{}, true};
  peers.StepDown[Holder] = StepDownState::Ordered;
  playToFence(service, proxy, peers);
  REQUIRE_FALSE(awaitOrder(service, proxy, peers, 200ms));
  peers.StepDown[Holder] = StepDownState::SteppedDown;
  peers.update(proxy, Holder);
  const auto told = proxy.Now;
  REQUIRE(awaitOrder(service, proxy, peers, 2s));
  CHECK(proxy.Now - told >= 100ms);
  CHECK(proxy.Now - told <= 200ms);
}

TEST_CASE("a change that a proxy tells of itself does not stand for its answer to the fence") {
  // Guards against lost commits: the proxy may have ended the fence that it tells of.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  playToFence(service, proxy, peers);
  // The claim's revision is not known here; a token above it counts as one of the present fence.
  CommitFenceReply update{Yard, 1'000'000, {1, 20}, 0};
  update.Update = true;
  proxy.receive(Holder, update);
  CHECK_FALSE(awaitOrder(service, proxy, peers, 200ms));
  update.Update = false;
  proxy.receive(Holder, update);
  CHECK(awaitOrder(service, proxy, peers, 180ms));
}

TEST_CASE("the promoted server holds what a server acknowledged to another proxy, as soon as one does") {
  // Guards against a promoted server that lacks commits which a server acknowledged and no caller was told
  // of.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  peers.Unreported[Holder] = {{1, 30}, false};
  playToFence(service, proxy, peers);
  CHECK_FALSE(awaitOrder(service, proxy, peers, 2s));
  service.join("c");
  service.Servers["c"].Log = {1, 30};
  const auto order = awaitOrder(service, proxy, peers, 4s);
  REQUIRE(order);
  CHECK(order->Target == TargetId("c"));
}

TEST_CASE("commits that no caller was told of are waited for 6 s at most") {
  // Guards against a service without a primary for a minute because of commits whose callers know no success.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  auto service = serviceWithLostPrimary();
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  peers.Unreported[Holder] = {{1, 30}, false};
  playToFence(service, proxy, peers);
  CHECK_FALSE(awaitOrder(service, proxy, peers, 5900ms));
  // The last attempt begins up to 1 s after the bound and takes some 100 ms.
  const auto order = awaitOrder(service, proxy, peers, 2s);
  REQUIRE(order);
  CHECK(order->Target == TargetId("b"));
}

TEST_CASE("while commits are unanswered, a replica that cannot be compared is passed over after 2 s only") {
  // Guards against a promoted server that lacks what that replica has acknowledged and no proxy has been
  // told.
  const auto orderedAfter = [](bool unanswered) {
    SessionHarness proxy;
    proxy.joinFleet({"n2"});
    auto service = serviceWithLostPrimary();
    service.Servers["a"].ReachesProxy = false;
    service.Servers["a"].Log = {1, 30};
    Peers peers;
    peers.Acknowledged[Holder] = {1, 20};
    peers.Unreported[Holder] = {{}, unanswered};
    const auto order = awaitOrder(service, proxy, peers, 10s);
    REQUIRE(order);
    return proxy.Now - peers.AskedAt.at(Holder);
  };
  CHECK(orderedAfter(false) <= 400ms);
  const auto waited = orderedAfter(true);
  CHECK(waited >= 2s);
  CHECK(waited <= 3s);
}

TEST_CASE(
    "a commit whose caller has left counts as unanswered, or as acknowledged once its server tells so") {
  // Guards against a promoted server that lacks a commit which was acknowledged after its caller had left.
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  REQUIRE(target == Primary);
  REQUIRE(wasSent(proxy, "w1"));
  proxy.apply(SessionClosed{session});
  fence(proxy);
  const auto reply = fenceReply(proxy);
  REQUIRE(reply);
  CHECK(reply->Unreported.Unanswered);
  proxy.reply(link, SessionHarness::done(), TransactionState::Idle, Position{1, 40});
  fence(proxy, Token + 1);
  const auto renewed = fenceReply(proxy);
  REQUIRE(renewed);
  CHECK((renewed->Unreported.Unanswered || renewed->Unreported.Acknowledged >= Position{1, 40}));
}

TEST_CASE("a change goes on when the primary answers after another proxy has stopped it") {
  // Guards against a service without a primary: the holder took the answer of a stopped server for a lead.
  auto service = serviceWithLostPrimary();
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  Peers peers;
  peers.Acknowledged[Holder] = {1, 20};
  playToFence(service, proxy, peers);
  CommitFenceReply stopped{Yard, service.Stored.Revision, {1, 20}, 0};
  stopped.StepDown = StepDownState::SteppedDown;
  proxy.receive(Holder, stopped);
  service.Servers["p"].Role = TargetRole::Replica;
  service.Servers["p"].ReachesProxy = true;
  CHECK(awaitOrder(service, proxy, peers, 4s));
  CHECK(service.Claims == 1);
}

TEST_CASE("a request to stop the former primary is not acted on once its holder has gone silent") {
  // Guards against a step-down of a primary that was promoted again, or serves on, after the change has
  // ended.
  SessionHarness proxy;
  fence(proxy, Token, 5);
  proxy.Out.clear();
  proxy.pass(2s);
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkOpened{open->Link});
  proxy.pass(1s);
  while (const auto sent = proxy.take<SendOnLink>())
    CHECK_FALSE(SessionHarness::command<StepDownPrimary>(*sent));
}

TEST_CASE("a notice that is found in a list makes no proxy stop the primary") {
  // Guards against a healthy primary that is stopped, since a holder that was killed left its notice behind.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  const FenceNotice notice{Yard, Token, 1, {NodeId("n1")}, false, TargetId(), Primary, 5};
  proxy.answerList(DirectoryKind::FenceNotices, {DirectoryObject{"yard", false, notice}});
  REQUIRE(proxy.Logic.Sessions.commitFence(Yard).raised(proxy.Now));
  for (int n = 0; n < 50; ++n) {
    proxy.pass(20ms);
    while (const auto open = proxy.take<OpenLink>())
      proxy.apply(LinkOpened{open->Link});
    while (const auto sent = proxy.take<SendOnLink>())
      CHECK_FALSE(SessionHarness::command<StepDownPrimary>(*sent));
  }
}

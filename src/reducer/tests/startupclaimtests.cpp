// Tests of a proxy that starts in a fleet beside a change of primary that may not know of it.

#include "reducer/tests/sessionharness.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;

namespace {

const DatabaseId Yard("yard");

DirectoryObject claimOf(const std::string &holder, std::uint64_t revision, bool done = false) {
  Claim out;
  out.Service = Yard;
  out.Holder = NodeId(holder);
  out.From = TargetId(done ? "a" : "p");
  out.Nonce = "9.1";
  out.Done = done;
  out.Revision = revision;
  out.Required = {1, 5};
  return {"yard", false, out};
}

void openLinks(SessionHarness &proxy) {
  while (const auto open = proxy.take<OpenLink>())
    proxy.apply(LinkOpened{open->Link});
}

/// Opens the links that the proxy asks for, and returns the link on which a statement was sent.
std::optional<LinkId> linkOf(SessionHarness &proxy, const std::string &statement) {
  openLinks(proxy);
  while (const auto sent = proxy.take<SendOnLink>())
    if (const auto *run = SessionHarness::command<RunStatement>(*sent); run && run->StatementId == statement)
      return sent->Link;
  return std::nullopt;
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

/// Answers the oldest list of the claims with a page that another one follows.
void answerFirstPage(SessionHarness &proxy, std::vector<DirectoryObject> objects) {
  const auto it = proxy.findList(DirectoryKind::Claims);
  REQUIRE(it != proxy.Out.end());
  const auto call = std::get<DirectoryCall>(*it).Call;
  proxy.Out.erase(it);
  proxy.apply(DirectoryAnswer{call, DirectoryListing{std::move(objects), true, 30}});
}

} // namespace

TEST_CASE("a proxy sends no write before its registration is stored") {
  // Guards against lost commits: a change of primary does not ask a proxy that it does not find.
  SessionHarness proxy;
  proxy.HoldAnnouncement = true;
  proxy.joinFleet({"n2"});
  CHECK(proxy.findList(DirectoryKind::Claims) == proxy.Out.end());
  proxy.write(proxy.open("settle"), "w1");
  CHECK_FALSE(linkOf(proxy, "w1"));
  proxy.read(proxy.open("settle"), "r1");
  openLinks(proxy);
  CHECK(proxy.take<SendOnLink>());
  proxy.HoldAnnouncement = false;
  proxy.pass(50ms);
  CHECK(linkOf(proxy, "w1"));
}

TEST_CASE("a proxy sends no write before it has listed the claims") {
  // Guards against lost commits: the holder of a claim may have listed the proxies before the registration.
  SessionHarness proxy;
  proxy.HoldStartupClaims = true;
  proxy.joinFleet({"n2"});
  proxy.write(proxy.open("settle"), "w1");
  CHECK_FALSE(linkOf(proxy, "w1"));
  proxy.answerList(DirectoryKind::Claims, {});
  CHECK(linkOf(proxy, "w1"));
}

TEST_CASE("a proxy sends no commit of a transaction before it has listed the claims") {
  // Guards against lost commits: a transaction that began earlier does not pass the wait of a single write.
  SessionHarness proxy;
  const auto session = proxy.open("settle");
  proxy.send(session, "b", BeginStatement{});
  proxy.write(session, "w1");
  const auto [link, target] = proxy.acceptLink();
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  proxy.reply(link, SessionHarness::done(), TransactionState::Open, Position{1, 5});
  proxy.HoldStartupClaims = true;
  proxy.joinFleet({"n2"});
  proxy.send(session, "c", CommitStatement{});
  CHECK_FALSE(linkOf(proxy, "c"));
  CHECK(rejectedAs(outcomeOf(proxy, "c"), Rejection::Aborted));
}

TEST_CASE("a write that waits for the claims is refused as not run at its timeout") {
  // Guards against callers that wait without an answer while the store cannot be reached.
  SessionHarness proxy;
  proxy.HoldStartupClaims = true;
  proxy.joinFleet({"n2"});
  proxy.write(proxy.open("settle"), "w1");
  proxy.pass(900ms);
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::Busy));
}

TEST_CASE("a list of claims that failed is sent again and allows writes") {
  // Guards against a proxy that refuses writes for good after one fault of the store.
  SessionHarness proxy;
  proxy.HoldStartupClaims = true;
  proxy.joinFleet({"n2"});
  const auto it = proxy.findList(DirectoryKind::Claims);
  REQUIRE(it != proxy.Out.end());
  const auto call = std::get<DirectoryCall>(*it).Call;
  proxy.Out.erase(it);
  proxy.apply(DirectoryAnswer{call, DirectoryFailure{"timeout"}});
  proxy.write(proxy.open("settle"), "w1");
  proxy.pass(310ms);
  CHECK_FALSE(linkOf(proxy, "w1"));
  proxy.answerList(DirectoryKind::Claims, {});
  CHECK(linkOf(proxy, "w1"));
}

TEST_CASE("a write waits while a claim of another proxy is unfinished and is sent once it is done") {
  // Guards against lost commits: the holder of the claim promotes a server without asking this proxy.
  SessionHarness proxy;
  proxy.joinFleet({"n2"}, {claimOf("n2", 30)});
  proxy.write(proxy.open("settle"), "w1");
  CHECK_FALSE(linkOf(proxy, "w1"));
  proxy.pass(320ms);
  CHECK_FALSE(linkOf(proxy, "w1"));
  proxy.answerList(DirectoryKind::Claims, {claimOf("n2", 31, true)});
  proxy.pass(100ms);
  CHECK(linkOf(proxy, "w1"));
  proxy.pass(1s);
  CHECK(proxy.findList(DirectoryKind::Claims) == proxy.Out.end());
}

TEST_CASE("a commit in flight is withheld while a claim of another proxy is unfinished") {
  // Guards against lost commits: the promoted server may lack what the former primary acknowledges.
  SessionHarness proxy;
  proxy.write(proxy.open("settle"), "w1");
  const auto link = linkOf(proxy, "w1");
  REQUIRE(link);
  proxy.joinFleet({"n2"}, {claimOf("n2", 30)});
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
}

TEST_CASE("an unfinished claim on the second page of the list holds writes back") {
  // Guards against lost commits: the store returns long lists in pages.
  SessionHarness proxy;
  proxy.HoldStartupClaims = true;
  proxy.joinFleet({"n2"});
  auto other = claimOf("n2", 29, true);
  other.Name = "other";
  std::get<Claim>(other.Value).Service = DatabaseId("other");
  answerFirstPage(proxy, {other});
  const auto it = proxy.findList(DirectoryKind::Claims);
  REQUIRE(it != proxy.Out.end());
  CHECK(std::get<ListDirectory>(std::get<DirectoryCall>(*it).Request).After == "other");
  proxy.answerList(DirectoryKind::Claims, {claimOf("n2", 30)});
  proxy.write(proxy.open("settle"), "w1");
  CHECK_FALSE(linkOf(proxy, "w1"));
}

TEST_CASE("a claim of an earlier process of the same node holds writes back") {
  // Guards against lost commits: the order of a process that was killed may still be carried out.
  SessionHarness proxy;
  proxy.joinFleet({"n2"}, {claimOf("n1", 30)});
  proxy.write(proxy.open("settle"), "w1");
  CHECK_FALSE(linkOf(proxy, "w1"));
}

TEST_CASE("the fence for an unfinished claim becomes overdue if its holder does not renew it") {
  // Guards against a service whose change nobody takes over because each list renews the fence.
  SessionHarness proxy;
  proxy.joinFleet({"n2"}, {claimOf("n2", 30)});
  auto &fence = proxy.Logic.Sessions.commitFence(Yard);
  for (int n = 0; n < 8; ++n) {
    proxy.pass(310ms);
    proxy.answerList(DirectoryKind::Claims, {claimOf("n2", 30)});
  }
  CHECK(fence.overdue(proxy.Now));
  CHECK(fence.raised(proxy.Now));
}

TEST_CASE("a proxy whose entry is gone sends and reports no commit until it has listed the claims again") {
  // Guards against lost commits: a change of primary that began meanwhile does not ask this proxy.
  SessionHarness proxy;
  proxy.joinFleet({"n2"});
  proxy.write(proxy.open("settle"), "w1");
  const auto link = linkOf(proxy, "w1");
  REQUIRE(link);
  proxy.removeEntry("n1");
  proxy.pass(31s);
  proxy.reply(*link, SessionHarness::done(), TransactionState::Idle, Position{1, 9});
  CHECK(rejectedAs(outcomeOf(proxy, "w1"), Rejection::InDoubt));
  proxy.write(proxy.open("settle"), "w2");
  CHECK_FALSE(linkOf(proxy, "w2"));
  proxy.answerList(DirectoryKind::Claims, {claimOf("n2", 30, true)});
  CHECK(linkOf(proxy, "w2"));
}

TEST_CASE("a proxy without a fleet sends writes at once") {
  // Guards against a proxy that waits for a registration which never comes.
  SessionHarness proxy;
  proxy.write(proxy.open("settle"), "w1");
  CHECK(linkOf(proxy, "w1"));
}

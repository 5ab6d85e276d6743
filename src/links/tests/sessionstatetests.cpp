// Tests of what a link is recorded to carry: session values and prepared statements.

#include "links/tests/poolfixture.h"

#include <doctest/doctest.h>

using namespace rosemaryhinge;
using namespace rosemaryhinge::links_tests;

namespace {

const SessionValues InNorth{{"zone", "north"}};

/// Opens a link and assigns it to a session.
LinkId acquireNew(Pool &pool) {
  pool.openLinks(1);
  pool.accept();
  const auto link = pool.acquire();
  REQUIRE(link);
  return *link;
}

} // namespace

TEST_CASE("a link that carries the session's values is preferred, another is cleared") {
  Pool pool;
  pool.openLinks(2);
  pool.accept();
  const auto first = pool.acquire();
  const auto second = pool.acquire();
  REQUIRE(first);
  REQUIRE(second);
  CHECK(pool.prepare(*first, InNorth) == 1);
  pool.Links.release(pool.ctx(), *second);
  pool.Links.release(pool.ctx(), *first);
  CHECK((pool.acquire(InNorth) == first));
  CHECK(pool.Links.prepare(*first, InNorth, nullptr).empty());
  const auto cleared = pool.Links.prepare(*first, {{"lang", "fi"}}, nullptr);
  REQUIRE(cleared.size() == 2);
  CHECK(std::holds_alternative<DiscardSession>(cleared.front()));
}

TEST_CASE("a shape has one name on all links, and is prepared once on each") {
  Pool pool;
  const auto link = acquireNew(pool);
  const PreparedShape shape{AccessMode::Write, "q2"};
  CHECK(pool.prepare(link, {}, &shape) == 1);
  CHECK(pool.prepare(link, {}, &shape) == 0);
  CHECK(pool.Links.preparedName(shape) != pool.Links.preparedName({AccessMode::Read, "q2"}));
}

TEST_CASE("a link on which the server refused a value is not used again, although its session has gone") {
  // Guards against statements that run without the values that their sessions were told are set.
  Pool pool;
  const auto link = acquireNew(pool);
  auto commands = pool.Links.prepare(link, InNorth, nullptr);
  commands.emplace_back(RunStatement{"s", "READ 1", std::nullopt});
  pool.Links.send(pool.ctx(), link, std::move(commands));
  pool.Links.release(pool.ctx(), link);
  pool.reply(link, StatementRejection{Rejection::ReadOnly, ""}, TransactionState::Failed);
  pool.reply(link, StatementRejection{Rejection::ReadOnly, ""}, TransactionState::Failed);
  CHECK(pool.count<CloseLink>() == 1);
  CHECK_FALSE(pool.acquire(InNorth));
}

TEST_CASE("a link on which a discard or a prepared statement was refused is closed once it is released") {
  // Guards against values and names of an earlier session that stay on the link.
  const PreparedShape shape{AccessMode::Write, "q2"};
  for (const bool discards : {true, false}) {
    Pool pool;
    const auto link = acquireNew(pool);
    if (discards)
      pool.prepare(link, InNorth);
    pool.Links.send(pool.ctx(), link, pool.Links.prepare(link, {}, discards ? nullptr : &shape));
    pool.reply(link, StatementRejection{Rejection::Busy, ""});
    CHECK(pool.count<CloseLink>() == 0);
    pool.Links.release(pool.ctx(), link);
    CHECK(pool.count<CloseLink>() == 1);
    CHECK_FALSE(pool.acquire());
  }
}

TEST_CASE("a value that the server has not confirmed is not recorded as set") {
  // Guards against a value that counts as set before its answer has come.
  Pool pool;
  const auto link = acquireNew(pool);
  pool.Links.send(pool.ctx(), link, pool.Links.prepare(link, InNorth, nullptr));
  CHECK(pool.Links.prepare(link, InNorth, nullptr).size() == 1);
  pool.reply(link, StatementResultRows{});
  CHECK(pool.Links.prepare(link, InNorth, nullptr).empty());
}

TEST_CASE("what was set inside a transaction is set again after its rollback, and not after its commit") {
  // Guards against values that a rollback undoes at the server.
  for (const bool commits : {true, false}) {
    Pool pool;
    const auto link = acquireNew(pool);
    pool.Links.send(pool.ctx(), link, {BeginTransaction{}});
    pool.reply(link, StatementResultRows{}, TransactionState::Open);
    pool.Links.send(pool.ctx(), link, pool.Links.prepare(link, InNorth, nullptr));
    pool.reply(link, StatementResultRows{}, TransactionState::Open);
    pool.Links.send(pool.ctx(), link,
                    {commits ? LinkCommand(RunStatement{"c", "COMMIT", std::nullopt})
                             : LinkCommand(RollbackTransaction{})});
    pool.reply(link, StatementResultRows{});
    const auto commands = pool.Links.prepare(link, InNorth, nullptr);
    REQUIRE(commands.size() == (commits ? 0 : 2));
    CHECK((commits || std::holds_alternative<DiscardSession>(commands.front())));
  }
}

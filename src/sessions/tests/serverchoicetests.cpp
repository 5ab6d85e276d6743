// Tests of the choice of a server for a read.

#include "sessions/internal/serverchoice.h"

#include <doctest/doctest.h>

#include <utility>

using namespace rosemaryhinge;

namespace {

const TargetId A("a");
const TargetId B("b");

/// A pool with eight idle links to each of two replicas in the proxy's zone.
class Choice {
public:
  Choice() {
    Self.AvailabilityZone = AvailabilityZone("z");
    Self.TargetPace = true;
    Configuration configuration;
    configuration.Version = 1;
    configuration.Services = {{DatabaseId("yard"), 8, 1}};
    Known.accept(configuration);
    for (const auto &target : {A, B}) {
      Known.updateServer(
          {target, DatabaseId("yard"), "10.0.0.1:80", Self.AvailabilityZone, TargetRole::Replica, false, 1},
          Now);
      while (Links.open(target) < 8) {
        Links.openLinks(ctx(), Known, target, 4);
        for (const auto &it : std::exchange(Out, {}))
          if (const auto *open = std::get_if<OpenLink>(&it))
            Links.onOpened(ctx(), open->Link);
      }
    }
  }

  Context &ctx() {
    Ctx.emplace(Context{Now, Self, 1, Allowed, Random, Out, Journal, Number});
    return *Ctx;
  }
  std::optional<LinkId> send(const TargetId &target) {
    const auto link = Links.acquire(target, {SessionId{1}, false, 0, {}}, {}, Now);
    if (link)
      Links.send(ctx(), *link, {RunStatement{"s", "READ 1", Position{}}});
    return link;
  }
  /// Lets a server answer after a silence.
  void recover(const TargetId &target) {
    const auto link = send(target);
    REQUIRE(link);
    Now += 600ms;
    static_cast<void>(
        Links.onReply(ctx(), {*link, StatementResultRows{{}, "signed"}, TransactionState::Idle, {}, {}}));
    Links.release(ctx(), *link);
  }
  Duration cost(const TargetId &target) {
    return detail::readCost(Self, *Known.server(target), Links, {}, false, Now);
  }

private:
  NodeConfig Self;
  Rules Allowed;
  std::mt19937_64 Random;
  std::vector<JournalEntry> Journal;
  Effects Out;
  std::uint64_t Number = 0;
  std::optional<Context> Ctx;
  LinkPool Links;
  Catalog Known;
  TimePoint Now{50s};
};

} // namespace

TEST_CASE("a read avoids a server at the small limit of its start phase") {
  // Guards against reads that queue for a recovered server while its peer has spare capacity.
  Choice choice;
  choice.recover(A);
  CHECK(choice.cost(A) == choice.cost(B));
  REQUIRE(choice.send(A));
  REQUIRE(choice.send(B));
  // With one statement each, the recovered server has less capacity left.
  CHECK(choice.cost(A) > choice.cost(B));
  REQUIRE(choice.send(A));
  CHECK_FALSE(choice.send(A));
  for (int n = 0; n < 4; ++n)
    REQUIRE(choice.send(B));
  CHECK(choice.cost(A) > choice.cost(B));
}

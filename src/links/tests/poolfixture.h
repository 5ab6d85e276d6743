// Test fixture for the pool of connections to servers. The test answers each effect in place of the server.

#pragma once

#include "links/linkpool.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace rosemaryhinge::links_tests {

inline const TargetId A("a");
inline const WorkspaceId North("north");
inline const WorkspaceId South("south");

class Pool {
public:
  explicit Pool(std::uint32_t connections = 3) {
    Self.TargetPace = true;
    Configuration configuration;
    configuration.Version = 1;
    configuration.Services = {{DatabaseId("yard"), connections, 1}};
    Known.accept(configuration);
    Known.updateServer(
        {A, DatabaseId("yard"), "10.0.0.1:80", AvailabilityZone("z"), TargetRole::Replica, false, 1}, Now);
  }

  Context &ctx() {
    Ctx.emplace(Context{Now, Self, 1, Allowed, Random, Out, Journal, Number});
    return *Ctx;
  }

  /// Puts a configuration in force in which links belong to workspaces.
  void addWorkspaces() {
    auto next = Known.configuration();
    ++next.Version;
    next.Workspaces.emplace();
    Known.accept(next);
  }
  void openLinks(std::size_t waiting, const WorkspaceId &workspace = {}) {
    Links.openLinks(ctx(), Known, A, waiting, LinkPurpose::Statements, workspace);
  }
  /// Completes the opening of all pending links.
  void accept() {
    for (const auto &it : std::exchange(Out, {}))
      if (const auto *open = std::get_if<OpenLink>(&it))
        Links.onOpened(ctx(), open->Link);
  }
  void refuse(LinkFailure why) {
    for (const auto &it : std::exchange(Out, {}))
      if (const auto *open = std::get_if<OpenLink>(&it))
        static_cast<void>(Links.onClosed(ctx(), {open->Link, why}));
  }
  std::optional<LinkId> acquire(const SessionValues &values = {}, const WorkspaceId &workspace = {}) {
    return Links.acquire(A, {SessionId{1}, false, 0, workspace}, values, Now);
  }
  void reply(LinkId link, StatementOutcome outcome, TransactionState state = TransactionState::Idle) {
    static_cast<void>(Links.onReply(ctx(), {link, std::move(outcome), state, {}, {}}));
  }
  /// Sets values and a prepared statement on a link, which the server confirms. Returns the number of
  /// commands that this took.
  std::size_t prepare(LinkId link, const SessionValues &values, const PreparedShape *shape = nullptr) {
    auto commands = Links.prepare(link, values, shape);
    const auto number = commands.size();
    Links.send(ctx(), link, std::move(commands));
    for (std::size_t n = 0; n < number; ++n)
      reply(link, StatementResultRows{});
    return number;
  }
  template <typename T> std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        Out.begin(), Out.end(), [](const Effect &it) { return std::holds_alternative<T>(it); }));
  }
  void pass(Duration time) {
    const auto end = Now + time;
    while (Now < end) {
      Now += 50ms;
      Links.onTimer(ctx(), Known);
    }
  }

  LinkPool Links;
  Catalog Known;
  Effects Out;
  TimePoint Now{50s};

private:
  NodeConfig Self;
  Rules Allowed;
  std::mt19937_64 Random;
  std::vector<JournalEntry> Journal;
  std::uint64_t Number = 0;
  std::optional<Context> Ctx;
};

} // namespace rosemaryhinge::links_tests

// Test fixture: the request module of one proxy with fake policies, membership and slots.

#pragma once

#include "request/requestmodule.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemaryhinge::test {

struct FakePolicies : IPolicies {
  ClassPolicy Class;
  DatabasePolicy Policy;
  std::vector<DatabaseId> Names = {DatabaseId("d")};

  [[nodiscard]] const ClassPolicy &classPolicy(const DatabaseId &, const ClassName &) const override {
    return Class;
  }
  [[nodiscard]] const DatabasePolicy &databasePolicy(const DatabaseId &) const override { return Policy; }
  [[nodiscard]] const std::vector<DatabaseId> &databases() const override { return Names; }
  [[nodiscard]] std::uint64_t revision() const override { return 1; }
};

struct FakeMembers : IMembers {
  std::set<NodeId> Nodes = {NodeId("n0"), NodeId("n1"), NodeId("n2")};
  std::set<NodeId> Leaving;

  [[nodiscard]] const std::vector<Member> &live() const override {
    Live.clear();
    for (const auto &it : Nodes)
      Live.push_back({it, 1, AvailabilityZone("a"), Region("r"), isLeaving(it)});
    return Live;
  }
  [[nodiscard]] std::uint64_t version() const override { return ++Version; }
  [[nodiscard]] bool isLive(const NodeId &node) const override { return Nodes.contains(node); }
  [[nodiscard]] bool isDead(const NodeId &node) const override { return !isLive(node); }
  [[nodiscard]] bool isLeaving(const NodeId &node) const override { return Leaving.contains(node); }

  mutable std::vector<Member> Live;
  mutable std::uint64_t Version = 0;
};

/// Slots whose connections open without delay.
struct FakeSlots : ISlots {
  std::set<TargetId> Held;
  std::map<TargetId, std::vector<NodeId>> Holders;
  std::uint32_t Capacity = 20;
  std::map<ConnectionId, TargetId> Busy;
  std::map<TargetId, std::vector<ConnectionId>> Idle;
  std::vector<ConnectionId> Doubtful;

  [[nodiscard]] bool holds(const TargetId &target) const override { return Held.contains(target); }
  [[nodiscard]] std::vector<NodeId> otherHolders(const DatabaseId &, const TargetId &target) const override {
    auto it = Holders.find(target);
    return it == Holders.end() ? std::vector<NodeId>() : it->second;
  }
  [[nodiscard]] std::uint32_t capacity(const TargetId &target) const override {
    return holds(target) ? Capacity : 0;
  }
  [[nodiscard]] std::uint32_t busy(const TargetId &target) const override {
    return static_cast<std::uint32_t>(
        std::count_if(Busy.begin(), Busy.end(), [&](const auto &it) { return it.second == target; }));
  }
  std::optional<ConnectionId> acquire(Context &ctx, const TargetId &target) override {
    auto &idle = Idle[target];
    if (busy(target) >= capacity(target))
      return std::nullopt;
    ConnectionId out{idle.empty() ? ctx.nextNumber() : idle.back().Value};
    if (!idle.empty())
      idle.pop_back();
    Busy[out] = target;
    return out;
  }
  void release(Context &, ConnectionId connection, bool doubtful) override {
    if (doubtful)
      Doubtful.push_back(connection);
    else if (auto it = Busy.find(connection); it != Busy.end())
      Idle[it->second].push_back(connection);
    Busy.erase(connection);
  }
  [[nodiscard]] std::optional<TargetId> targetOf(ConnectionId connection) const override {
    auto it = Busy.find(connection);
    return it == Busy.end() ? std::nullopt : std::optional(it->second);
  }
};

/// Initially, node n0 holds slots of the servers s0 (primary), s1 and s2 of database d at term 1.
struct TestProxy {
  FakePolicies Policies;
  FakeMembers Members;
  FakeSlots Slots;
  GroupTable Groups;
  rosemaryhinge::Rules Rules;
  NodeConfig Self;
  std::mt19937_64 Random{1};
  std::uint64_t NextNumber = 0;
  rosemaryhinge::Effects Out;
  std::vector<JournalEntry> Journal;
  TimePoint Now{100s};
  RequestModule Module;
  rosemaryhinge::Group Group;
  bool Leaving = false;

  explicit TestProxy(RequestOptions options = {}) : Module(options) {
    Self.Node = NodeId("n0");
    Self.AvailabilityZone = AvailabilityZone("a");
    Self.Region = Region("r");
    Group.Database = DatabaseId("d");
    Group.Term = 1;
    Group.Primary = server(0);
    Group.History = {{1, 0}};
    for (int it = 0; it < 3; ++it) {
      Group.Servers.push_back({server(it), "", AvailabilityZone("a"), Region("r"), 3});
      Slots.Held.insert(server(it));
      Slots.Holders[server(it)] = {NodeId("n1"), NodeId("n2")};
    }
    setGroup();
    for (int it = 0; it < 3; ++it)
      Groups.recordStatus(server(it), statusOf(it, {1, 1000}), Now, Now, true);
  }

  static TargetId server(int index) { return TargetId("s" + std::to_string(index)); }
  static TargetStatus statusOf(int index, Position log, Term raised = 1) {
    TargetStatus out;
    out.Role = index == 0 ? TargetRole::Primary : TargetRole::Replica;
    out.RaisedTerm = raised;
    out.Log = log;
    return out;
  }
  Context context() { return {Now, Self, 7, Rules, Random, Out, Journal, NextNumber}; }
  void setGroup() {
    auto ctx = context();
    Groups.update(ctx, Group);
  }
  void shutDown() {
    Leaving = true;
    with([&](auto &ctx, auto &services) { Module.onShutdown(ctx, services); });
  }
  /// Calls the handler with a fresh context and services.
  template <typename F> void with(F handler) {
    auto ctx = context();
    Services services{Policies, Members, Slots, Groups, true, Leaving};
    handler(ctx, services);
  }
  void promote(int index, Term term, Lsn start) {
    Group.Term = term;
    Group.Primary = server(index);
    Group.History.push_back({term, start});
    setGroup();
    with([&](auto &ctx, auto &services) { Module.onCapacity(ctx, services); });
  }
  void advance(Duration by) {
    const auto end = Now + by;
    while (auto next = Module.nextTimer()) {
      if (*next > end)
        break;
      Now = std::max(Now, *next);
      with([&](auto &ctx, auto &services) { Module.onTimer(ctx, services); });
    }
    Now = end;
  }

  CallerRequest request(std::uint64_t id, bool readOnly) const {
    CallerRequest out;
    out.Id = RequestId{id};
    out.Caller = CallerId("c");
    out.Database = DatabaseId("d");
    out.Class = ClassName("k");
    out.Statements = {"statement " + std::to_string(id)};
    out.ReadOnly = readOnly;
    out.Deadline = Now + 2s;
    return out;
  }
  void ask(const CallerRequest &it) {
    with([&](auto &ctx, auto &services) { Module.onRequest(ctx, services, it); });
  }
  void finish(const Execute &run,
              std::variant<ExecutionDone, ExecutionFailed, MarkerConflict, NotPrimary> result) {
    const ExecutionFinished event{run.Connection, run.Execution, std::move(result)};
    with([&](auto &ctx, auto &services) { Module.onExecutionFinished(ctx, services, event); });
  }
  void done(const Execute &run, Position at, TargetRole role = TargetRole::Primary) {
    finish(run, ExecutionDone{{}, at, role});
  }
  void close(ConnectionId connection) {
    Slots.Busy.erase(connection);
    with([&](auto &ctx, auto &services) {
      Module.onConnectionClosed(ctx, services, ConnectionClosed{connection, "reset"});
    });
  }
  void reply(const ControlCall &call, std::variant<TargetStatus, MarkerRecord, ControlFailure> result) {
    const ControlAnswer event{call.Call, call.Target, std::move(result)};
    with([&](auto &ctx, auto &services) { Module.onControlAnswer(ctx, services, event); });
  }
  /// Answers every status query that was sent.
  void replyStatus(Position log, Term raised = 1) {
    for (const auto &call : take<ControlCall>())
      if (std::holds_alternative<QueryStatus>(call.Request))
        reply(call, statusOf(call.Target == Group.Primary ? 0 : 1, log, raised));
  }
  void forwarded(const char *from, const Answer &answer, RequestId id) {
    with([&](auto &ctx, auto &services) {
      Module.onForwardAnswer(ctx, services, NodeId(from), ForwardAnswer{id, answer});
    });
  }

  /// Removes the effects of type T from Out and returns them.
  template <typename T> std::vector<T> take() {
    std::vector<T> out;
    std::erase_if(Out, [&](Effect &it) {
      auto *found = std::get_if<T>(&it);
      if (found != nullptr)
        out.push_back(std::move(*found));
      return found != nullptr;
    });
    return out;
  }
  /// Removes all control calls and returns the first AbortMarker call; none if there is none.
  std::optional<ControlCall> takeAbort() {
    for (const auto &call : take<ControlCall>())
      if (std::holds_alternative<AbortMarker>(call.Request))
        return call;
    return std::nullopt;
  }
  /// Removes all messages to peers and returns the first ForwardRequest and its receiver, if any.
  std::optional<std::pair<NodeId, ForwardRequest>> takeForward() {
    for (auto &it : take<SendToPeer>())
      if (auto *message = std::get_if<ForwardRequest>(&it.Message))
        return std::pair(it.To, *message);
    return std::nullopt;
  }
};

} // namespace rosemaryhinge::test

// Fakes of the interfaces that the slots and failover modules use, and a driver that keeps their effects.

#pragma once

#include "groups/grouptable.h"
#include "membership/imembers.h"
#include "protocol/context.h"
#include "settings/ipolicies.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemaryhinge::testing {

class FixedPolicies : public IPolicies {
public:
  explicit FixedPolicies(DatabaseId database) : Names{std::move(database)} {}
  explicit FixedPolicies(std::vector<DatabaseId> databases) : Names(std::move(databases)) {}

  [[nodiscard]] const ClassPolicy &classPolicy(const DatabaseId &, const ClassName &) const override {
    return Class;
  }
  [[nodiscard]] const DatabasePolicy &databasePolicy(const DatabaseId &) const override { return Database; }
  [[nodiscard]] const std::vector<DatabaseId> &databases() const override { return Names; }
  [[nodiscard]] std::uint64_t revision() const override { return 1; }

  ClassPolicy Class;
  DatabasePolicy Database;

private:
  std::vector<DatabaseId> Names;
};

class FixedMembers : public IMembers {
public:
  [[nodiscard]] const std::vector<Member> &live() const override {
    Live.clear();
    std::copy_if(All.begin(), All.end(), std::back_inserter(Live),
                 [&](const auto &it) { return !Dead.contains(it.Node); });
    return Live;
  }
  [[nodiscard]] std::uint64_t version() const override { return ++Version; }
  [[nodiscard]] bool isLive(const NodeId &node) const override { return !Dead.contains(node); }
  [[nodiscard]] bool isDead(const NodeId &node) const override { return Dead.contains(node); }
  [[nodiscard]] bool isLeaving(const NodeId &node) const override {
    return std::any_of(All.begin(), All.end(), [&](const auto &it) { return it.Node == node && it.Leaving; });
  }

  std::vector<Member> All;
  std::set<NodeId> Dead;

private:
  mutable std::vector<Member> Live;
  mutable std::uint64_t Version = 0; ///< Tells a change at every call; the fakes do not track changes.
};

/// Supplies contexts and collects effects.
class ContextSource {
public:
  explicit ContextSource(std::string node) { Self.Node = NodeId(std::move(node)); }

  Context at(TimePoint now) {
    return Context{now, Self, Incarnation, Rules, Random, Emitted, Journal, Number};
  }
  /// Removes and returns the effects of one type; the others stay.
  template <typename T> std::vector<T> take() {
    std::vector<T> out;
    std::erase_if(Emitted, [&](auto &it) {
      auto *effect = std::get_if<T>(&it);
      if (effect != nullptr)
        out.push_back(std::move(*effect));
      return effect != nullptr;
    });
    return out;
  }

  NodeConfig Self;
  std::uint64_t Incarnation = 1;
  rosemaryhinge::Rules Rules;
  Effects Emitted;
  std::vector<JournalEntry> Journal;

private:
  std::mt19937_64 Random{1};
  std::uint64_t Number = 0;
};

/// The platform's objects, with lost answers.
class ObjectStore {
public:
  /// Answers a call. With LoseAnswer, an update takes effect and the answer is a failure.
  PlatformAnswer answer(const PlatformCall &call, bool loseAnswer = false) {
    if (const auto *put = std::get_if<PutObject>(&call.Request)) {
      auto &object = Objects[put->Key];
      if (object.Version != put->Expected)
        return {call.Call, PutConflict{object.Version}};
      object = {put->Key, object.Version + 1, put->Value};
      if (loseAnswer)
        return {call.Call, PlatformFailure{"answer lost"}};
      return {call.Call, PutDone{object.Version}};
    }
    if (const auto *get = std::get_if<GetObject>(&call.Request)) {
      auto it = Objects.find(get->Key);
      return {call.Call, it == Objects.end() ? ObjectValue{get->Key, 0, ""} : it->second};
    }
    return {call.Call, VmList{}};
  }

  std::map<std::string, ObjectValue> Objects;
};

inline Group threeServers() {
  Group out;
  out.Database = DatabaseId("db");
  for (const auto *it : {"a", "b", "c"})
    out.Servers.push_back({TargetId(it), "127.0.0.1:1", AvailabilityZone(it), Region(it), 3});
  out.Term = 1;
  out.Primary = TargetId("a");
  out.History = {{1, 0}};
  out.Version = 1;
  return out;
}

} // namespace rosemaryhinge::testing

// Which proxies look after which database, kept up to date as members come and go.

#pragma once

#include "membership/imembers.h"
#include "slots/candidates.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace rosemaryhinge {

/// With 13,000 databases and 3,500 members, ordering all members for all databases takes seconds. A member
/// that joins is compared with the candidates of each database; one that goes costs a new order only for the
/// databases that it looked after.
class CandidateIndex {
public:
  /// Takes over the present databases and members. Does nothing if neither has changed.
  void update(const NodeId &self, std::span<const DatabaseId> databases, std::uint64_t revision,
              const IMembers &members);

  /// First proxies in the order of the database; empty for an unknown one.
  [[nodiscard]] const std::vector<NodeId> &candidatesOf(const DatabaseId &database) const;
  /// Databases that this proxy looks after.
  [[nodiscard]] const std::set<DatabaseId> &ownDatabases() const { return OwnDatabases; }
  /// Place of this proxy in the order of a database that it looks after, from 0.
  [[nodiscard]] std::size_t ownRank(const DatabaseId &database) const;

private:
  struct Entry {
    std::vector<std::uint64_t> Scores; ///< Ascending, one for each node.
    std::vector<NodeId> Nodes;
  };

  void addMember(const NodeId &node);
  void removeMember(const NodeId &node);
  void rebuild(const DatabaseId &database, Entry &entry);
  static void insert(Entry &entry, std::uint64_t score, const NodeId &node);
  void updateOwnDatabases(const DatabaseId &database, const Entry &entry);

  NodeId Self;
  std::map<DatabaseId, Entry> Entries;
  std::set<NodeId> ActiveMembers; ///< Live members that are not leaving.
  std::set<DatabaseId> OwnDatabases;
  std::uint64_t Revision = 0;
  std::uint64_t MembersVersion = 0;
};

} // namespace rosemaryhinge

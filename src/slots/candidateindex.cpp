// Candidate index.

#include "slots/candidateindex.h"

#include <algorithm>

namespace rosemaryhinge {

void CandidateIndex::update(const NodeId &self, std::span<const DatabaseId> databases, std::uint64_t revision,
                            const IMembers &members) {
  Self = self;
  const auto version = members.version();
  if (version != MembersVersion) {
    MembersVersion = version;
    std::set<NodeId> next;
    for (const auto &it : members.live())
      if (!it.Leaving)
        next.insert(it.Node);
    auto before = ActiveMembers;
    for (const auto &it : before)
      if (!next.contains(it))
        removeMember(it);
    for (const auto &it : next)
      if (!before.contains(it))
        addMember(it);
  }
  if (revision == Revision && Entries.size() == databases.size())
    return;
  Revision = revision;
  std::set<DatabaseId> present(databases.begin(), databases.end());
  std::erase_if(Entries, [&](const auto &it) { return !present.contains(it.first); });
  std::erase_if(OwnDatabases, [&](const auto &it) { return !present.contains(it); });
  for (const auto &database : databases)
    if (auto [it, added] = Entries.try_emplace(database); added)
      rebuild(database, it->second);
}

const std::vector<NodeId> &CandidateIndex::candidatesOf(const DatabaseId &database) const {
  static const std::vector<NodeId> None;
  auto it = Entries.find(database);
  return it == Entries.end() ? None : it->second.Nodes;
}

std::size_t CandidateIndex::ownRank(const DatabaseId &database) const {
  const auto &nodes = candidatesOf(database);
  return static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), Self) - nodes.begin());
}

void CandidateIndex::addMember(const NodeId &node) {
  ActiveMembers.insert(node);
  for (auto &[database, entry] : Entries) {
    insert(entry, databaseScore(database, node), node);
    updateOwnDatabases(database, entry);
  }
}

void CandidateIndex::removeMember(const NodeId &node) {
  ActiveMembers.erase(node);
  for (auto &[database, entry] : Entries)
    if (std::find(entry.Nodes.begin(), entry.Nodes.end(), node) != entry.Nodes.end())
      rebuild(database, entry);
}

void CandidateIndex::rebuild(const DatabaseId &database, Entry &entry) {
  entry = Entry{};
  for (const auto &it : ActiveMembers)
    insert(entry, databaseScore(database, it), it);
  updateOwnDatabases(database, entry);
}

void CandidateIndex::insert(Entry &entry, std::uint64_t score, const NodeId &node) {
  if (entry.Nodes.size() == CandidatesPerDatabase && score >= entry.Scores.back())
    return;
  auto at = std::lower_bound(entry.Scores.begin(), entry.Scores.end(), score) - entry.Scores.begin();
  entry.Scores.insert(entry.Scores.begin() + at, score);
  entry.Nodes.insert(entry.Nodes.begin() + at, node);
  if (entry.Nodes.size() > CandidatesPerDatabase) {
    entry.Scores.pop_back();
    entry.Nodes.pop_back();
  }
}

void CandidateIndex::updateOwnDatabases(const DatabaseId &database, const Entry &entry) {
  if (std::find(entry.Nodes.begin(), entry.Nodes.end(), Self) != entry.Nodes.end())
    OwnDatabases.insert(database);
  else
    OwnDatabases.erase(database);
}

} // namespace rosemaryhinge

// Rules by which member updates replace one another.

#include "membership/internal/membertable.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rosemaryhinge::detail {

namespace {

/// Of the same incarnation and refutation, the worse state is the newer one.
int rank(MemberUpdate::Kind state) {
  switch (state) {
  case MemberUpdate::Kind::Alive:
    return 0;
  case MemberUpdate::Kind::Leaving:
    return 1;
  case MemberUpdate::Kind::Suspect:
    return 2;
  case MemberUpdate::Kind::Dead:
    break;
  }
  return 3;
}

} // namespace

bool isNewer(const MemberUpdate &a, const MemberUpdate &b) {
  return std::tuple(a.Incarnation, a.Refutation, rank(a.State)) >
         std::tuple(b.Incarnation, b.Refutation, rank(b.State));
}

MemberTable::Change MemberTable::apply(const MemberUpdate &update, TimePoint now) {
  auto it = Entries.find(update.Node);
  bool known = it != Entries.end();
  if (known && !isNewer(update, it->second.Update))
    return Change::None;
  if (!known && Entries.size() >= Limit && !evictOldestDead())
    return Change::Refused;
  auto &entry = Entries[update.Node];
  bool wasLive = known && !entry.dead();
  bool sameProcess = known && entry.Update.Incarnation == update.Incarnation;
  entry.Leaving = update.State == MemberUpdate::Kind::Leaving || (sameProcess && entry.Leaving);
  entry.Update = update;
  if (entry.suspect())
    entry.Deadline = now + suspicionTime();
  if (entry.dead())
    entry.Deadline = now + DeadRetention;
  Live = Live + (entry.dead() ? 0 : 1) - (wasLive ? 1 : 0);
  if (!known)
    return Change::Added;
  return !wasLive && !entry.dead() ? Change::Revived : Change::Updated;
}

void MemberTable::removeExpiredDead(TimePoint now) {
  std::erase_if(Entries, [&](const auto &it) { return it.second.dead() && it.second.Deadline <= now; });
}

MemberEntry *MemberTable::find(const NodeId &node) {
  auto it = Entries.find(node);
  return it == Entries.end() ? nullptr : &it->second;
}

const MemberEntry *MemberTable::find(const NodeId &node) const {
  auto it = Entries.find(node);
  return it == Entries.end() ? nullptr : &it->second;
}

Duration MemberTable::suspicionTime() const {
  // Three probe periods, times the logarithm of the size as in SWIM.
  auto factor = std::max(1.0, std::log10(static_cast<double>(Live + 1)));
  return std::chrono::duration_cast<Duration>(3s * factor);
}

bool MemberTable::evictOldestDead() {
  auto oldest = Entries.end();
  for (auto it = Entries.begin(); it != Entries.end(); ++it)
    if (it->second.dead() && (oldest == Entries.end() || it->second.Deadline < oldest->second.Deadline))
      oldest = it;
  if (oldest == Entries.end())
    return false;
  Entries.erase(oldest);
  return true;
}

} // namespace rosemaryhinge::detail

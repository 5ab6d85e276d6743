// What a run knows of its writes.

#include "load/ledger.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace rosemaryhinge::load {

void Ledger::wrote(const std::string &database, const std::string &key, Effect effect, bool acknowledged) {
  auto &note = Writes[database][key];
  note.Doubtful = note.Doubtful || effect == Effect::Unknown;
  note.Acknowledged = note.Acknowledged || acknowledged;
}

void Ledger::readOwn(std::uint64_t session, std::uint64_t acknowledged, const std::string &seen) {
  ++OwnReadsChecked;
  std::uint64_t count = 0;
  auto [end, ec] = std::from_chars(seen.data(), seen.data() + seen.size(), count);
  if (ec == std::errc{} && end == seen.data() + seen.size() && count >= acknowledged)
    return;
  ++OwnReads;
  if (FirstViolation.empty())
    FirstViolation = "read_your_writes: session " + std::to_string(session) + " read " + seen +
                     " writes after " + std::to_string(acknowledged) + " acknowledged ones";
}

void Ledger::compare(const std::string &database, const std::map<std::string, std::uint64_t> &runs) {
  auto found = [&](std::uint64_t &counter, const char *invariant, const std::string &key) {
    ++counter;
    if (FirstViolation.empty())
      FirstViolation = std::string(invariant) + ": key " + key + " in " + database;
  };
  for (const auto &[key, count] : runs) {
    if (count > 1)
      found(Twice, "at_most_once", key);
  }
  for (const auto &[key, note] : Writes[database]) {
    ++KeysChecked;
    if (note.Acknowledged && !runs.contains(key))
      found(Lost, "no_lost_write", key);
    if (!note.Acknowledged && !note.Doubtful && runs.contains(key))
      found(Untrue, "true_not_run", key);
  }
}

nlohmann::json Ledger::json() const {
  return {{"own_reads_checked", OwnReadsChecked},
          {"keys_checked", KeysChecked},
          {"read_your_writes", OwnReads},
          {"at_most_once", Twice},
          {"no_lost_write", Lost},
          {"true_not_run", Untrue},
          {"first_violation", FirstViolation}};
}

} // namespace rosemaryhinge::load

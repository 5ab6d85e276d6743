// What a run knows of its writes, and the check of it against what the databases hold.

#pragma once

#include "load/reply.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace rosemaryhinge::load {

class Ledger {
public:
  /// Notes what an answer says of a keyed write.
  void wrote(const std::string &database, const std::string &key, Effect effect, bool acknowledged);
  /// Notes a session's read of its own writes.
  void readOwn(std::uint64_t session, std::uint64_t acknowledged, const std::string &seen);
  /// Compares a database's keys, with how often each ran, against the notes.
  void compare(const std::string &database, const std::map<std::string, std::uint64_t> &runs);

  [[nodiscard]] std::uint64_t violations() const { return OwnReads + Twice + Lost + Untrue; }
  [[nodiscard]] nlohmann::json json() const;

private:
  struct Note {
    bool Acknowledged = false;
    bool Doubtful = false; ///< An earlier attempt with this key had an unknown outcome.
  };

  std::map<std::string, std::map<std::string, Note>> Writes; ///< By database and key.
  std::uint64_t OwnReadsChecked = 0;
  std::uint64_t KeysChecked = 0;
  std::uint64_t OwnReads = 0; ///< read_your_writes: reads that missed an acknowledged write.
  std::uint64_t Twice = 0;    ///< at_most_once: keys that ran more than once.
  std::uint64_t Lost = 0;     ///< no_lost_write: acknowledged keys that are missing.
  std::uint64_t Untrue = 0; ///< true_not_run: keys that ran although every attempt was said not to have run.
  std::string FirstViolation;
};

} // namespace rosemaryhinge::load

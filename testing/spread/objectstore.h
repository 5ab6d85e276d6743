// Platform object API in virtual time, with the faults that the platform has.

#pragma once

#include "base/time.h"
#include "protocol/platform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rosemaryhinge::spread {

struct StoredObject {
  std::string Value;
  ObjectVersion Version = 0;
};

/// Applies calls at once; the fleet adds latencies and carries the answers.
class ObjectStore {
public:
  using Result = decltype(PlatformAnswer::Result);
  /// Called with the answer of a watch when it is due.
  using Answer = std::function<void(Result)>;

  void call(const PlatformCall &call, const Answer &answer);
  /// Ends the watch without a change, as at its timeout.
  void endWatch(std::uint64_t watch);
  /// Writes as the platform's own operator does.
  void overwrite(const std::string &key, std::string value);
  [[nodiscard]] const StoredObject &object(const std::string &key);

  std::vector<VmEntry> Vms;
  std::uint64_t Calls = 0;
  std::uint64_t LastWatch = 0; ///< Number of the watch that the last call began; 0 if it began none.

private:
  struct Watch {
    std::string Key;
    Answer Reply;
  };

  [[nodiscard]] Result put(const PutObject &request);
  void notify(const std::string &key);

  std::map<std::string, StoredObject> Objects;
  std::map<std::uint64_t, Watch> Watches;
  std::uint64_t NextWatch = 0;
};

} // namespace rosemaryhinge::spread

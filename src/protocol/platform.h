// Calls to the platform's object API and their answers.

#pragma once

#include "base/id.h"
#include "base/time.h"
#include "protocol/callid.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// Version of a platform object. 0 if the object does not exist.
using ObjectVersion = std::uint64_t;

struct GetObject {
  std::string Key;
};
/// Conditional update: applied only if the object has the expected version.
struct PutObject {
  std::string Key;
  ObjectVersion Expected = 0;
  std::string Value;
};
/// Long poll: answered when the version exceeds Above, or with the unchanged object at the timeout.
struct WatchObject {
  std::string Key;
  ObjectVersion Above = 0;
};
struct ListVms {};

struct PlatformCall {
  CallId Call;
  Duration Timeout{};
  std::variant<GetObject, PutObject, WatchObject, ListVms> Request;
};

struct ObjectValue {
  std::string Key;
  ObjectVersion Version = 0;
  std::string Value;
};
struct PutDone {
  ObjectVersion Version = 0;
};
struct PutConflict {
  ObjectVersion Version = 0;
};
/// The call failed or its answer was unusable. A conditional update may have been applied nevertheless, so
/// the object must be read back.
struct PlatformFailure {
  std::string Message;
};
struct VmEntry {
  NodeId Vm; ///< A proxy's node name, or a server's target id.
  bool Leaving = false;
};
struct VmList {
  std::vector<VmEntry> Vms;
  std::size_t Unreadable = 0; ///< Entries that are left out because they cannot be read.
};

struct PlatformAnswer {
  CallId Call;
  std::variant<ObjectValue, PutDone, PutConflict, PlatformFailure, VmList> Result;
};

} // namespace rosemaryhinge

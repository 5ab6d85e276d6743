// Messages between proxies.

#pragma once

#include "base/id.h"
#include "base/position.h"
#include "base/time.h"
#include "protocol/platform.h"
#include "protocol/request.h"
#include "protocol/target.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// A request passed on to a proxy that holds a slot or the transaction.
struct ForwardRequest {
  RequestId Id;      ///< Of the sender; the answer carries it back.
  Duration Budget{}; ///< Time left until the deadline. Clocks of VMs are not compared.
  std::uint32_t Hops = 0;
  /// Attempt of the marker to run. Only the proxy that took the request in raises it, so an abort that it
  /// wrote also holds at a holder that still has the request queued.
  std::uint64_t Attempt = 1;
  CallerRequest Request;
};

struct ForwardAnswer {
  RequestId Id;
  rosemaryhinge::Answer Answer;
};

/// State of a member as it spreads between proxies.
struct MemberUpdate {
  enum class Kind : std::uint8_t { Alive, Suspect, Dead, Leaving };

  NodeId Node;
  std::uint64_t Incarnation = 0;
  Kind State = Kind::Alive;
  std::string Address; ///< IP and port of the peer listener.
  rosemaryhinge::AvailabilityZone AvailabilityZone;
  rosemaryhinge::Region Region;
  std::string Release;
};

struct Probe {
  std::uint64_t Sequence = 0;
  std::uint64_t SettingsRevision = 0;
  std::vector<MemberUpdate> Updates;
};
struct ProbeAck {
  std::uint64_t Sequence = 0;
  std::uint64_t SettingsRevision = 0;
  std::vector<MemberUpdate> Updates;
};
/// Asks a member to probe another one.
struct IndirectProbe {
  std::uint64_t Sequence = 0;
  NodeId Subject;
};
/// Asks for the members that the receiver knows; sent once after a start.
struct MembersRequest {};
struct MembersReply {
  std::vector<MemberUpdate> Members;
};

/// A settings revision on its way down the tree of members.
struct SettingsPush {
  std::uint64_t Round = 0; ///< Matches acknowledgements to this push.
  std::uint64_t Revision = 0;
  std::string Tree;                ///< Whole tree as YAML.
  ObjectVersion Version = 0;       ///< Version of the platform object it was read from.
  std::vector<NodeId> Descendants; ///< Members that the receiver passes it on to.
};
struct SettingsAck {
  std::uint64_t Round = 0;
  std::uint64_t Revision = 0;
  std::uint32_t InForce = 0;
  std::vector<NodeId> Missing;
};
struct SettingsRequest {
  std::uint64_t Have = 0;
};

/// State of servers as slot holders see it. Age is the time since the status was requested.
struct TargetReport {
  TargetId Target;
  DatabaseId Database;
  TargetStatus Status;
  Duration Age{};
};
struct TargetReports {
  std::vector<TargetReport> Reports;
};

/// Asks how long the receiver has had no contact with the primary.
struct PrimaryContactRequest {
  DatabaseId Database;
  rosemaryhinge::Term Term = 0;
};
struct PrimaryContactReply {
  DatabaseId Database;
  rosemaryhinge::Term Term = 0;
  bool HoldsSlot = false;
  Duration SinceContact{};
};

/// A platform object of ours that changed, told to peers ahead of their own reading.
struct ObjectChanged {
  std::string Key;
  ObjectVersion Version = 0;
  std::string Value;
};

/// Journal records on their way to the owners that write them, as JSON.
struct JournalRecords {
  std::uint64_t Batch = 0;
  std::vector<std::string> Records;
};
struct JournalAck {
  std::uint64_t Batch = 0;
};

using PeerMessage =
    std::variant<ForwardRequest, ForwardAnswer, Probe, ProbeAck, IndirectProbe, MembersRequest, MembersReply,
                 SettingsPush, SettingsAck, SettingsRequest, TargetReports, PrimaryContactRequest,
                 PrimaryContactReply, ObjectChanged, JournalRecords, JournalAck>;

} // namespace rosemaryhinge

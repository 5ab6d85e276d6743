// Descriptions of events without their contents.

#include "daemon/internal/trail.h"

#include "base/overloaded.h"

#include <array>

namespace rosemaryhinge::detail {

namespace {

/// In the order of the messages in PeerMessage.
constexpr auto MessageNames = std::to_array<const char *>({
    "forward_request",
    "forward_answer",
    "probe",
    "probe_ack",
    "indirect_probe",
    "members_request",
    "members_reply",
    "settings_push",
    "settings_ack",
    "settings_request",
    "target_reports",
    "primary_contact_request",
    "primary_contact_reply",
    "object_changed",
    "journal_records",
    "journal_ack",
    "settings_query",
    "settings_report",
    "journal_written",
    "position_request",
    "position_reply",
    "loan_request",
    "loan_queued",
    "loan_grant",
    "loan_commands",
    "loan_reply",
    "loan_end",
    "changes_request",
    "changes_reply",
    "quota_request",
    "quota_reply",
    "quota_handover",
    "commit_fence_request",
    "commit_fence_reply",
    "commit_fence_end",
});
static_assert(MessageNames.size() == std::variant_size_v<PeerMessage>, "a message has no name");
constexpr std::array<const char *, 4> ExecutionNames = {"done", "failed", "marker_conflict", "not_primary"};
constexpr std::array<const char *, 3> ControlNames = {"status", "marker", "failure"};
constexpr std::array<const char *, 5> PlatformNames = {"object", "put_done", "put_conflict", "failure",
                                                       "vms"};

std::uint64_t numberOf(const PeerMessage &message) {
  if (const auto *it = std::get_if<ForwardRequest>(&message))
    return it->Id.Value;
  if (const auto *it = std::get_if<ForwardAnswer>(&message))
    return it->Id.Value;
  return 0;
}

} // namespace

Trail::Entry Trail::describe(const Event &event) {
  return std::visit(
      Overloaded{
          [](const Started &it) {
            return Entry{{}, "started", it.Incarnation, {}, ""};
          },
          [](const TimerFired &) {
            return Entry{{}, "timer", 0, {}, ""};
          },
          [](const ShutdownRequested &) {
            return Entry{{}, "shutdown_requested", 0, {}, ""};
          },
          [](const RequestArrived &it) {
            return Entry{{},
                         "request",
                         it.Request.Id.Value,
                         it.Request.Database.str(),
                         it.Request.ReadOnly ? "read" : "write"};
          },
          [](const CallerDisconnected &it) {
            return Entry{{}, "caller_gone", it.Id.Value, {}, ""};
          },
          [](const PeerReceived &it) {
            return Entry{
                {}, "peer", numberOf(it.Message), it.From.str(), MessageNames.at(it.Message.index())};
          },
          [](const PeerLost &it) {
            return Entry{{}, "peer_lost", 0, it.Node.str(), ""};
          },
          [](const ConnectionOpened &it) {
            return Entry{{}, "connection_opened", it.Connection.Value, {}, ""};
          },
          [](const ConnectionClosed &it) {
            return Entry{{}, "connection_closed", it.Connection.Value, {}, ""};
          },
          [](const ExecutionFinished &it) {
            return Entry{{}, "execution", it.Execution.Value, {}, ExecutionNames.at(it.Result.index())};
          },
          [](const ControlAnswer &it) {
            return Entry{{}, "control", it.Call.Number, it.Target.str(), ControlNames.at(it.Result.index())};
          },
          [](const PlatformAnswer &it) {
            const auto *object = std::get_if<ObjectValue>(&it.Result);
            return Entry{{},
                         "platform",
                         it.Call.Number,
                         object ? object->Key : std::string(),
                         PlatformNames.at(it.Result.index())};
          },
          [](const WallClockRead &) {
            return Entry{{}, "wall_clock", 0, {}, ""};
          },
          [](const AdminRequest &it) {
            return Entry{{}, "admin", it.Id, it.Command, ""};
          },
          [](const CallerConnected &it) {
            return Entry{{}, "caller_connected", it.Session.Value, {}, ""};
          },
          [](const AcceptingStopped &) {
            return Entry{{}, "accepting_stopped", 0, {}, ""};
          },
          [](const SessionOpened &it) {
            return Entry{{}, "session_opened", it.Session.Value, it.Database, ""};
          },
          [](const StatementArrived &it) {
            return Entry{{}, "statement", it.Session.Value, it.Statement.Id, ""};
          },
          [](const SessionClosed &it) {
            return Entry{{}, "session_closed", it.Session.Value, {}, ""};
          },
          [](const LinkOpened &it) {
            return Entry{{}, "link_opened", it.Link.Value, {}, ""};
          },
          [](const LinkClosed &it) {
            return Entry{{}, "link_closed", it.Link.Value, {}, ""};
          },
          [](const LinkReplied &it) {
            return Entry{{}, "link_replied", it.Link.Value, {}, ""};
          },
          [](const DirectoryAnswer &it) {
            return Entry{{}, "directory", it.Call.Number, {}, ""};
          },
          [](const PromotionAnswer &it) {
            return Entry{{}, "promotion", it.Call.Number, it.Message, ""};
          },
      },
      event);
}

void Trail::add(const Event &event, TimePoint now) {
  auto entry = describe(event);
  entry.At = now;
  if (Entries.size() < Size)
    Entries.push_back(std::move(entry));
  else
    Entries[Next] = std::move(entry);
  Next = (Next + 1) % Size;
}

std::vector<std::string> Trail::lines() const {
  std::vector<std::string> out;
  const auto oldest = Entries.size() < Size ? 0 : Next;
  for (std::size_t n = 0; n < Entries.size(); ++n) {
    const auto &it = Entries[(oldest + n) % Entries.size()];
    auto line = std::to_string(it.At.time_since_epoch().count()) + "us " + it.Kind;
    if (*it.Detail != '\0')
      line.append(" ").append(it.Detail);
    if (it.Number != 0)
      line.append(" ").append(std::to_string(it.Number));
    if (!it.Where.empty())
      line.append(" ").append(it.Where);
    out.push_back(std::move(line));
  }
  return out;
}

} // namespace rosemaryhinge::detail

// Tests of the trail of events.

#include "daemon/internal/trail.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <utility>

using namespace rosemaryhinge;

namespace {

struct NamedMessage {
  PeerMessage Message;
  std::string Name;
};

} // namespace

// Guards against a missing or misplaced name: describing a message without a name read a null pointer, which
// ended the proxy while it logged a violated invariant.
TEST_CASE("each message of a peer has its name in the trail") {
  const std::array<NamedMessage, std::variant_size_v<PeerMessage>> messages = {{
      {ForwardRequest{}, "forward_request"},
      {ForwardAnswer{}, "forward_answer"},
      {Probe{}, "probe"},
      {ProbeAck{}, "probe_ack"},
      {IndirectProbe{}, "indirect_probe"},
      {MembersRequest{}, "members_request"},
      {MembersReply{}, "members_reply"},
      {SettingsPush{}, "settings_push"},
      {SettingsAck{}, "settings_ack"},
      {SettingsRequest{}, "settings_request"},
      {TargetReports{}, "target_reports"},
      {PrimaryContactRequest{}, "primary_contact_request"},
      {PrimaryContactReply{}, "primary_contact_reply"},
      {ObjectChanged{}, "object_changed"},
      {JournalRecords{}, "journal_records"},
      {JournalAck{}, "journal_ack"},
      {SettingsQuery{}, "settings_query"},
      {SettingsReport{}, "settings_report"},
      {JournalWritten{}, "journal_written"},
      {PositionRequest{}, "position_request"},
      {PositionReply{}, "position_reply"},
      {LoanRequest{}, "loan_request"},
      {LoanQueued{}, "loan_queued"},
      {LoanGrant{}, "loan_grant"},
      {LoanCommands{}, "loan_commands"},
      {LoanReply{}, "loan_reply"},
      {LoanEnd{}, "loan_end"},
      {ChangesRequest{}, "changes_request"},
      {ChangesReply{}, "changes_reply"},
      {QuotaRequest{}, "quota_request"},
      {QuotaReply{}, "quota_reply"},
      {QuotaHandover{}, "quota_handover"},
      {CommitFenceRequest{}, "commit_fence_request"},
      {CommitFenceReply{}, "commit_fence_reply"},
      {CommitFenceEnd{}, "commit_fence_end"},
  }};
  detail::Trail trail;
  for (const auto &it : messages)
    trail.add(PeerReceived{NodeId("p"), it.Message}, TimePoint());
  const auto lines = trail.lines();
  REQUIRE(lines.size() == messages.size());
  for (std::size_t n = 0; n < lines.size(); ++n) {
    CHECK(messages[n].Message.index() == n);
    CHECK(lines[n] == "0us peer " + messages[n].Name + " p");
  }
}

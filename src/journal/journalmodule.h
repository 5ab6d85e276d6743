// Journal of decisions: collected from proxies, written to the platform in bounded batches, read by the
// report.

#pragma once

#include "membership/imembers.h"
#include "protocol/context.h"
#include "protocol/event.h"

#include <memory>
#include <optional>
#include <vector>

namespace rosemaryhinge {

namespace detail {
struct JournalState;
}

class JournalModule {
public:
  JournalModule();
  ~JournalModule();
  JournalModule(JournalModule &&) noexcept;
  JournalModule &operator=(JournalModule &&) noexcept;

  void onStarted(Context &ctx);
  /// Takes the entries that the decision functions recorded during one event.
  void append(Context &ctx, const std::vector<JournalEntry> &entries);
  void onPeer(Context &ctx, const IMembers &members, const NodeId &from, const PeerMessage &message);
  void onPlatformAnswer(Context &ctx, const IMembers &members, const PlatformAnswer &event);
  void onAdmin(Context &ctx, const IMembers &members, const AdminRequest &request);
  void onTimer(Context &ctx, const IMembers &members);
  /// True if a leaving proxy has nothing left to hand over.
  [[nodiscard]] bool flushed() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const;

private:
  std::unique_ptr<detail::JournalState> State;
};

} // namespace rosemaryhinge

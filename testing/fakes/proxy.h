// A proxy in virtual time: one reducer, its clock, and the carrying out of its effects.

#pragma once

#include "fakes/network.h"
#include "fakes/observer.h"
#include "protocol/rules.h"
#include "reducer/state.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemaryhinge::fakes {

class Fleet;

/// A clock that differs from the run's: clocks of VMs are never alike.
struct LocalClock {
  Duration Offset{};
  std::int64_t DriftPpm = 0;

  [[nodiscard]] TimePoint local(TimePoint global) const;
  /// Earliest global time at which the local clock shows at least the given time.
  [[nodiscard]] TimePoint global(TimePoint local) const;
};

class FakeProxy {
public:
  using AnswerBack = std::function<void(const Answer &)>;
  using Lost = std::function<void()>;

  FakeProxy(Fleet &fleet, std::size_t index, NodeConfig config, Endpoint place, LocalClock clock);

  void start();
  /// The process ends at once; nothing is told to anyone but by the loss of its connections. If its VM has
  /// failed with it, not even those are closed, and servers notice much later.
  void kill(bool withVm = false);
  /// No event is handled for the time; then all of them at once. The clock goes on.
  void pause(Duration time);
  /// Ends a pause early.
  void wake();
  void shutdown();

  /// A caller's request has arrived. Lost runs if the process ends before it answers.
  void request(const Submission &submission, CallerRequest request, AnswerBack reply, Lost lost);
  /// The caller of the submission with this number gave up.
  void callerGone(std::uint64_t submissionNumber);
  void admin(const std::string &command, const std::string &body,
             std::function<void(const AdminReply &)> reply, Lost lost);
  void receive(Event event);
  /// As receive, if the process is still the one that it was meant for.
  void receiveFor(std::uint64_t incarnation, Event event);
  /// The connections to the server have failed; both ends notice later.
  void breakConnections(const TargetId &target);

  [[nodiscard]] std::size_t index() const { return Index; }
  [[nodiscard]] const NodeConfig &config() const { return Config; }
  [[nodiscard]] Endpoint place() const { return Where; }
  [[nodiscard]] std::uint64_t incarnation() const { return Incarnation; }
  [[nodiscard]] bool running() const { return State != nullptr; }
  [[nodiscard]] bool paused() const;
  [[nodiscard]] bool leaving() const { return ShuttingDown; }
  [[nodiscard]] bool ready() const;
  [[nodiscard]] std::uint64_t revision() const;
  [[nodiscard]] const rosemaryhinge::State &state() const { return *State; }
  [[nodiscard]] std::size_t unanswered() const { return Calls.size(); }
  [[nodiscard]] TimePoint startedAt() const { return StartedAt; }
  /// When the last pause ended; the run's start if there was none.
  [[nodiscard]] TimePoint lastPauseEnd() const { return PausedUntil; }
  [[nodiscard]] TimePoint localNow() const;
  [[nodiscard]] std::map<std::string, double> &counts() { return Counts; }

  std::uint64_t Events = 0;
  std::uint64_t PeerMessages = 0;

private:
  struct Call {
    Submission What;
    AnswerBack Reply;
    Lost Gone;
    std::uint64_t Number = 0;
  };

  void apply(const Event &event);
  void carryOut(Effect &effect);
  void respond(const Respond &effect);
  void sendToPeer(SendToPeer effect);
  void open(const OpenConnection &effect);
  void close(const CloseConnection &effect);
  void execute(Execute effect);
  void control(ControlCall effect);
  void platform(PlatformCall effect);
  void finished();
  enum class Ending : std::uint8_t { Graceful, Process, Vm };
  void end(Ending how);
  void closeConnections(Ending how);
  void armTimer();
  void resume();

  Fleet &World;
  std::size_t Index;
  NodeConfig Config;
  Endpoint Where;
  LocalClock Clock;
  std::unique_ptr<rosemaryhinge::State> State;
  std::uint64_t Incarnation = 0;
  TimePoint StartedAt;
  TimePoint PausedUntil;
  bool ShuttingDown = false;
  bool Ended = false; ///< ShutdownComplete was among the effects of the current event.
  std::vector<Event> Held;
  std::uint64_t TimerToken = 0;
  std::optional<TimePoint> TimerAt;
  bool TimerHeld = false;
  TimePoint LastTimer;
  std::uint64_t NextRequest = 0;
  std::unordered_map<std::uint64_t, Call> Calls;
  std::map<std::uint64_t, std::pair<std::function<void(const AdminReply &)>, Lost>> AdminCalls;
  std::uint64_t NextAdmin = 0;
  std::unordered_map<std::uint64_t, TargetId> Connections;
  std::map<CallId, bool> Waiting; ///< Calls to servers and to the store that have no answer yet.
  std::map<std::string, double> Counts;
};

} // namespace rosemaryhinge::fakes

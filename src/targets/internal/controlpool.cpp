// Control calls to one server.

#include "targets/internal/controlpool.h"

#include "base/overloaded.h"
#include "targets/internal/rows.h"

#include <algorithm>

namespace rosemaryhinge::detail {

namespace {

/// Resolution of deadlines while calls are open.
constexpr std::chrono::milliseconds TickInterval{10};

const QueryStatus *waitOf(const ControlRequest &request) {
  const auto *status = std::get_if<QueryStatus>(&request);
  return status && status->WaitFor ? status : nullptr;
}

bool isPlainStatus(const ControlRequest &request) {
  const auto *status = std::get_if<QueryStatus>(&request);
  return status && !status->WaitFor;
}

/// True if waiting on cannot change the answer.
bool isSettled(Position wanted, const TargetStatus &status) {
  return status.Log.Term > wanted.Term || status.RaisedTerm > wanted.Term ||
         (status.Log.Term == wanted.Term && status.Log.Lsn >= wanted.Lsn);
}

std::chrono::milliseconds millisUntil(std::chrono::steady_clock::time_point at) {
  return std::chrono::ceil<std::chrono::milliseconds>(at - std::chrono::steady_clock::now());
}

} // namespace

ControlPool::ControlPool(asio::io_context &io, TargetId target, const TargetOptions &options, EventSink sink,
                         IMetrics &metrics)
    : Io(io), Target(std::move(target)), Options(options), Sink(std::move(sink)), Metrics(metrics),
      Timer(io) {}

void ControlPool::setServer(ConnectionOptions options) {
  if (options == Server)
    return;
  Server = std::move(options);
  for (auto it = Connections.begin(); it != Connections.end();) {
    it->Former = true;
    const bool unused = it->Running.empty();
    if (unused)
      it->Pg->close();
    it = unused ? Connections.erase(it) : std::next(it);
  }
}

void ControlPool::call(const ControlCall &effect) {
  const auto now = Clock::now();
  Call call{effect.Call, effect.Request, now + effect.Timeout, now + effect.Timeout};
  if (waitOf(call.Request))
    call.Deadline += Options.WaitGrace;
  if (Server.empty()) {
    fail(call, ControlError::Unreachable, "the server's address is not known");
    return;
  }
  if (Queue.size() >= Options.MaxControlQueue) {
    Metrics.count("target_control_rejected_total");
    fail(call, ControlError::Unreachable, "too many control calls wait for the server");
    return;
  }
  Queue.push_back(std::move(call));
  pump();
  if (!Ticking)
    tick();
}

void ControlPool::stop() {
  Timer.cancel();
  for (auto &it : Connections)
    it.Pg->close();
  Connections.clear();
  Queue.clear();
}

void ControlPool::pump() {
  while (!Queue.empty()) {
    const auto waiting = static_cast<std::size_t>(
        std::count_if(Connections.begin(), Connections.end(), [](const Connection &it) { return it.Waits; }));
    const bool waitsAllowed = waiting + 1 < Options.MaxControlConnections;
    if (!waitsAllowed &&
        std::all_of(Queue.begin(), Queue.end(), [](const Call &it) { return waitOf(it.Request); }))
      return;
    const auto connection = freeConnection();
    if (!connection)
      return;
    auto &it = **connection;
    it.Running = takeBatch(waitsAllowed);
    it.Waits = waitOf(it.Running.front().Request) != nullptr;
    if (it.Pg->idle())
      run(*connection);
  }
}

ControlPool::Calls ControlPool::takeBatch(bool waitsAllowed) {
  const auto first = std::find_if(Queue.begin(), Queue.end(),
                                  [&](const Call &it) { return waitsAllowed || !waitOf(it.Request); });
  const auto lead = *first;
  const auto *wait = waitOf(lead.Request);
  const auto joins = [&](const Call &it) {
    if (it.Id == lead.Id)
      return true;
    const auto *other = waitOf(it.Request);
    if (wait && other)
      return other->WaitFor->Term == wait->WaitFor->Term;
    return isPlainStatus(lead.Request) && isPlainStatus(it.Request);
  };
  const auto rest =
      std::stable_partition(Queue.begin(), Queue.end(), [&](const Call &it) { return !joins(it); });
  Calls out(rest, Queue.end());
  Queue.erase(rest, Queue.end());
  return out;
}

std::optional<ControlPool::ConnectionIt> ControlPool::freeConnection() {
  const auto it = std::find_if(Connections.begin(), Connections.end(), [](const Connection &one) {
    return one.Running.empty() && !one.Former && one.Pg->idle();
  });
  if (it != Connections.end())
    return it;
  if (Connections.size() >= Options.MaxControlConnections)
    return std::nullopt;
  const auto added = Connections.emplace(Connections.end());
  added->Pg = std::make_shared<PgConnection>(Io, Options.MaxAnswerBytes);
  added->IdleSince = Clock::now();
  added->Pg->connect(
      Server, Options.ConnectTimeout, [self = shared_from_this(), added] { self->run(added); },
      [self = shared_from_this(), added](const std::string &why) { self->lost(added, why); });
  return added;
}

void ControlPool::run(ConnectionIt it) {
  it->IdleSince = Clock::now();
  if (it->Running.empty()) {
    pump();
    return;
  }
  const auto &first = it->Running.front();
  const auto sql = std::visit(Overloaded{[&](const QueryStatus &status) {
                                           if (!status.WaitFor)
                                             return std::string(StatusQuery);
                                           // The lowest position that any of them waits for, no longer than
                                           // the first of them may.
                                           Position at = *status.WaitFor;
                                           auto until = first.WaitUntil;
                                           for (const auto &one : it->Running) {
                                             at.Lsn = std::min(at.Lsn, waitOf(one.Request)->WaitFor->Lsn);
                                             until = std::min(until, one.WaitUntil);
                                           }
                                           return waitQuery(at, millisUntil(until));
                                         },
                                         [](const RaiseTerm &one) { return raiseQuery(one.Term); },
                                         [](const Promote &one) { return promoteQuery(one.Term); },
                                         [](const ClaimSlot &one) { return claimQuery(one); },
                                         [](const AbortMarker &one) { return abortQuery(one.Marker); }},
                              first.Request);
  auto longest = first.Deadline;
  for (const auto &one : it->Running)
    longest = std::max(longest, one.Deadline);
  // The calls' own deadlines pass first; this one only makes sure that no query is without.
  it->Pg->query(sql, millisUntil(longest) + 2 * TickInterval,
                [self = shared_from_this(), it](const PgOutcome &outcome) { self->finished(it, outcome); });
}

void ControlPool::finished(ConnectionIt it, const PgOutcome &outcome) {
  const auto calls = std::move(it->Running);
  const bool waited = it->Waits;
  it->Running.clear();
  it->Waits = false;
  it->IdleSince = Clock::now();
  if (calls.empty())
    return;
  if (outcome.Error) {
    const bool refused =
        outcome.Error->SqlState == StateRefused || outcome.Error->SqlState == StateNotPrimary;
    for (const auto &one : calls)
      fail(one, refused ? ControlError::Refused : ControlError::Unreachable,
           outcome.Error->SqlState + " " + outcome.Error->Message);
  } else {
    const StatementResult none;
    const auto &row = outcome.Results.empty() ? none : outcome.Results.front();
    const auto &first = calls.front();
    if (std::holds_alternative<AbortMarker>(first.Request)) {
      if (const auto record = parseMarkerRecord(row))
        answer(first, *record);
      else
        fail(first, ControlError::Unreachable, "the marker record is not valid");
    } else if (const auto status = parseStatus(row)) {
      statusArrived(calls, waited, *status);
    } else {
      Metrics.count("target_rows_invalid_total");
      for (const auto &one : calls)
        fail(one, ControlError::Unreachable, "the status row is not valid");
    }
  }
  pump();
}

void ControlPool::statusArrived(const Calls &calls, bool waited, const TargetStatus &status) {
  if (!waited) {
    for (const auto &one : calls)
      answer(one, status);
    return;
  }
  // The server decided to answer, so the lowest wait is answered in any case: waiting calls always get on.
  Lsn lowest = waitOf(calls.front().Request)->WaitFor->Lsn;
  for (const auto &one : calls)
    lowest = std::min(lowest, waitOf(one.Request)->WaitFor->Lsn);
  const auto now = Clock::now();
  Calls again;
  for (const auto &one : calls) {
    const auto wanted = *waitOf(one.Request)->WaitFor;
    if (isSettled(wanted, status) || wanted.Lsn == lowest || one.WaitUntil <= now)
      answer(one, status);
    else
      again.push_back(one);
  }
  Queue.insert(Queue.begin(), again.begin(), again.end());
}

void ControlPool::lost(ConnectionIt it, const std::string &why) {
  const auto calls = std::move(it->Running);
  Connections.erase(it);
  for (const auto &one : calls)
    fail(one, ControlError::Unreachable, why);
  // Only those that wait behind a lost connection; a new one is tried for them.
  pump();
}

void ControlPool::answer(const Call &call, decltype(ControlAnswer::Result) result) {
  Sink(ControlAnswer{call.Id, Target, std::move(result)});
}

void ControlPool::fail(const Call &call, ControlError error, const std::string &message) {
  answer(call, ControlFailure{error, message});
}

void ControlPool::expire(Calls &calls, Clock::time_point now) {
  std::erase_if(calls, [&](const Call &it) {
    if (it.Deadline > now)
      return false;
    Metrics.count("target_control_timeouts_total");
    fail(it, ControlError::Timeout, "no answer in time");
    return true;
  });
}

void ControlPool::tick() {
  Ticking = true;
  Timer.expires_after(TickInterval);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (ec)
      return;
    const auto now = Clock::now();
    self->expire(self->Queue, now);
    for (auto it = self->Connections.begin(); it != self->Connections.end();) {
      const bool busy = !it->Running.empty();
      self->expire(it->Running, now);
      // A connection whose answer nobody waits for is closed: its answer may still come.
      const bool abandoned = busy && it->Running.empty();
      const bool stale = !busy && (it->Former || now - it->IdleSince > self->Options.ControlIdle);
      if (abandoned || stale)
        it->Pg->close();
      it = abandoned || stale ? self->Connections.erase(it) : std::next(it);
    }
    self->pump();
    if (self->Queue.empty() && self->Connections.empty())
      self->Ticking = false;
    else
      self->tick();
  });
}

} // namespace rosemaryhinge::detail

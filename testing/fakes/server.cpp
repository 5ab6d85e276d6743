// Behaviour of the fake database server.

#include "fakes/server.h"

#include "base/overloaded.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

namespace {

constexpr Lsn TermStartBytes = 8;
constexpr Lsn EntryBytes = 48;
/// Share of commits whose answer is too large for the marker table.
constexpr double LargeAnswerShare = 0.03;

bool sameEntry(const EntryPtr &a, const EntryPtr &b) { return a.get() == b.get(); }

} // namespace

FakeServer::FakeServer(EventQueue &queue, Dice &dice, std::vector<IObserver *> &observers, TargetId name,
                       Endpoint place, std::uint32_t slotConnections, ServerTiming timing)
    : Queue(queue), Random(dice), Observers(observers), Name(std::move(name)), Where(place),
      SlotConnections(slotConnections), Timing(timing) {}

// --- Connections and executions

void FakeServer::open(const ConnectionKey &key, const OpenConnection &request) {
  if (Down)
    return Send(key, ConnectionClosed{ConnectionId{key.Connection}, "connection refused"});
  Queue.after(Timing.Connect, [this, key, slot = request.Slot, generation = request.Generation] {
    if (Down)
      return;
    if (generation < Generations[slot]) {
      ++GenerationRefusals;
      Send(key, ConnectionClosed{ConnectionId{key.Connection}, "lower generation"});
      return;
    }
    // The server's own limit counts per generation; connections that an earlier holder has left over are kept
    // out by claim_slot alone, so a missing claim shows as a breach.
    auto count = std::count_if(Connections.begin(), Connections.end(), [&](const auto &it) {
      return it.second.Slot == slot && it.second.Generation == generation;
    });
    if (static_cast<std::uint32_t>(count) >= SlotConnections) {
      ++LimitRefusals;
      Send(key, ConnectionClosed{ConnectionId{key.Connection}, "too many connections"});
      return;
    }
    auto &connection = Connections[key];
    connection.Slot = slot;
    connection.Generation = generation;
    connection.Established = true;
    countConnections(slot);
    Send(key, ConnectionOpened{ConnectionId{key.Connection}});
  });
}

void FakeServer::countConnections(std::uint32_t slot) {
  auto count = static_cast<std::size_t>(std::count_if(
      Connections.begin(), Connections.end(), [&](const auto &it) { return it.second.Slot == slot; }));
  for (auto *it : Observers)
    it->onConnections(*this, slot, count, SlotConnections);
}

void FakeServer::closedByProxy(const ConnectionKey &key) {
  auto it = Connections.find(key);
  if (it == Connections.end())
    return;
  if (it->second.Busy)
    it->second.Gone = true;
  else
    Connections.erase(it);
}

void FakeServer::kill(const ConnectionKey &key, const char *why) {
  auto it = Connections.find(key);
  if (it == Connections.end())
    return;
  bool gone = it->second.Gone;
  Connections.erase(it);
  ++KilledConnections;
  if (!gone)
    Send(key, ConnectionClosed{ConnectionId{key.Connection}, why});
}

void FakeServer::killIf(const std::function<bool(const Connection &)> &which, const char *why) {
  std::vector<ConnectionKey> keys;
  for (const auto &[key, connection] : Connections)
    if (which(connection))
      keys.push_back(key);
  for (const auto &key : keys)
    kill(key, why);
}

std::size_t FakeServer::executionsOf(std::size_t proxy, std::uint64_t incarnation) const {
  return static_cast<std::size_t>(std::count_if(Connections.begin(), Connections.end(), [&](const auto &it) {
    return it.first.Proxy == proxy && it.first.Incarnation == incarnation && it.second.Busy &&
           !it.second.Gone;
  }));
}

void FakeServer::execute(const ConnectionKey &key, const Execute &request) {
  auto it = Connections.find(key);
  if (it == Connections.end() || Down)
    return;
  auto &connection = it->second;
  if (request.Step == TransactionStep::None || request.Step == TransactionStep::Begin)
    for (auto *observer : Observers)
      observer->onWorkStarted(*this, key.Proxy);
  checkTransaction(connection, request);
  connection.Busy = true;
  ++Running;
  Duration time = Random.between(Timing.StatementLow, Timing.StatementHigh);
  for (const auto &text : request.Statements)
    time += parseStatement(text).Sleep;
  if (Running > Timing.Cores)
    time = time * static_cast<std::int64_t>(Running) / Timing.Cores;
  Queue.after(time, [this, key, request] {
    --Running;
    finish(key, request);
  });
}

void FakeServer::checkTransaction(const Connection &connection, const Execute &request) {
  std::string tag = connection.Open.value_or("");
  auto mixed = [&](const std::string &other) {
    for (auto *it : Observers)
      it->onMixedTransaction(*this, tag, other);
  };
  bool starts = request.Step == TransactionStep::None || request.Step == TransactionStep::Begin;
  if (connection.Busy || (connection.Open && starts))
    mixed("a new transaction");
  for (const auto &text : request.Statements) {
    auto statement = parseStatement(text);
    if (tag.empty())
      tag = statement.Tag;
    else if (!statement.Tag.empty() && tag != statement.Tag)
      mixed(std::string(statement.Tag));
  }
}

void FakeServer::finish(const ConnectionKey &key, const Execute &request) {
  auto it = Connections.find(key);
  if (it == Connections.end() || Down)
    return; // The session was ended: its transaction is rolled back.
  auto &connection = it->second;
  connection.Busy = false;
  auto result = run(connection, request);
  if (connection.Gone)
    Connections.erase(it);
  else
    answer(key, request.Execution, std::move(result));
}

void FakeServer::answer(const ConnectionKey &key, ExecutionId id,
                        decltype(ExecutionFinished::Result) result) {
  Send(key, ExecutionFinished{ConnectionId{key.Connection}, id, std::move(result)});
}

std::optional<decltype(ExecutionFinished::Result)> FakeServer::refusal(const Execute &request,
                                                                       bool readOnly) const {
  if (!readOnly && !isPrimary())
    return NotPrimary{Raised};
  if (request.Marker && !request.Marker->Key.empty())
    if (auto found = conflict(*request.Marker))
      return MarkerConflict{*found};
  return std::nullopt;
}

decltype(ExecutionFinished::Result) FakeServer::run(Connection &connection, const Execute &request) {
  bool inside = request.Step == TransactionStep::Statement || request.Step == TransactionStep::Commit ||
                request.Step == TransactionStep::Rollback;
  if (inside && !connection.Open)
    return ExecutionFailed{"25P01", "no transaction is open"};
  bool readOnly = inside ? connection.OpenReadOnly : request.ReadOnly;
  if (auto refused = refusal(request, readOnly)) {
    connection.Open.reset();
    return *refused;
  }
  if (!inside) {
    connection.Buffer.clear();
    connection.Open.reset();
  }
  if (request.Step == TransactionStep::Begin) {
    connection.Open = "";
    connection.OpenReadOnly = request.ReadOnly;
  }
  std::vector<StatementResult> results;
  if (auto failed = statements(connection, request, readOnly, results)) {
    connection.Open.reset();
    return *failed;
  }
  switch (request.Step) {
  case TransactionStep::None:
  case TransactionStep::Commit:
    return commit(connection, request, std::move(results));
  case TransactionStep::Rollback:
    connection.Open.reset();
    connection.Buffer.clear();
    break;
  case TransactionStep::Begin:
  case TransactionStep::Statement:
    break;
  }
  return ExecutionDone{std::move(results), end(), isPrimary() ? TargetRole::Primary : TargetRole::Replica};
}

std::optional<ExecutionFailed> FakeServer::statements(Connection &connection, const Execute &request,
                                                      bool readOnly, std::vector<StatementResult> &results) {
  for (const auto &text : request.Statements) {
    auto statement = parseStatement(text);
    StatementResult result;
    if (connection.Open && connection.Open->empty())
      connection.Open = std::string(statement.Tag);
    connection.OpenTry = statement.Try;
    result.Columns = {resultColumn(statement.Tag, std::to_string(results.size()))};
    switch (statement.What) {
    case Statement::Kind::Put:
      if (readOnly)
        return ExecutionFailed{"25006", "cannot write in a read-only transaction"};
      connection.Buffer.emplace_back(statement.Key, statement.Value);
      result.Affected = 1;
      break;
    case Statement::Kind::Get:
      if (auto row = Rows.find(std::string(statement.Key)); row != Rows.end())
        result.Rows.push_back({row->second.Value});
      ++Reads;
      break;
    case Statement::Kind::Sleep:
      break;
    case Statement::Kind::Fail:
      return ExecutionFailed{"23505", "constraint violated"};
    case Statement::Kind::Unknown:
      return ExecutionFailed{"42601", "syntax error"};
    }
    results.push_back(std::move(result));
  }
  return std::nullopt;
}

decltype(ExecutionFinished::Result) FakeServer::commit(Connection &connection, const Execute &request,
                                                       std::vector<StatementResult> results) {
  std::string tag = connection.Open.value_or("");
  if (!request.Statements.empty())
    tag = parseStatement(request.Statements.front()).Tag;
  bool readOnly = request.Step == TransactionStep::Commit ? connection.OpenReadOnly : request.ReadOnly;
  connection.Open.reset();
  if (results.empty())
    results.push_back({{resultColumn(tag, "commit")}, {}, 0});
  auto buffer = std::move(connection.Buffer);
  connection.Buffer.clear();
  if (!readOnly) {
    LogEntry entry;
    entry.Tag = tag;
    entry.Try = connection.OpenTry;
    entry.Writes = std::move(buffer);
    entry.Done = true;
    if (request.Marker)
      entry.Key = *request.Marker;
    if (!Random.chance(LargeAnswerShare))
      entry.Results = results;
    append(std::move(entry));
    ++Commits;
  }
  return ExecutionDone{std::move(results), end(), isPrimary() ? TargetRole::Primary : TargetRole::Replica};
}

std::optional<MarkerRecord> FakeServer::conflict(const Marker &marker) const {
  auto it = Markers.find(marker.Key);
  if (it == Markers.end())
    return std::nullopt;
  const auto &entry = *it->second;
  if (!entry.Done && entry.Key.Attempt < marker.Attempt)
    return std::nullopt;
  return record(entry);
}

MarkerRecord FakeServer::record(const LogEntry &entry) const {
  MarkerRecord out{entry.Done, entry.Key.Attempt, std::nullopt, end()};
  if (entry.Done && !entry.Results.empty())
    out.Results = entry.Results;
  return out;
}

// --- Log

Position FakeServer::end() const { return Log.empty() ? Position{} : Log.back()->End; }

const LogEntry &FakeServer::append(LogEntry entry) {
  auto before = end();
  entry.Start = before.Lsn;
  entry.End = {PrimaryTerm, before.Lsn + (entry.StartsTerm ? TermStartBytes : EntryBytes)};
  entry.At = Queue.now();
  auto shared = std::make_shared<const LogEntry>(std::move(entry));
  Log.push_back(shared);
  for (auto *it : Observers)
    it->onCommitted(*this, *shared);
  apply(shared);
  releaseWaiters();
  if (OnAppend)
    OnAppend();
  return *shared;
}

void FakeServer::apply(const EntryPtr &entry) {
  for (const auto &[key, value] : entry->Writes)
    Rows[key] = {value, entry->End};
  if (!entry->Key.Key.empty())
    Markers[entry->Key.Key] = entry;
  if (!entry->Tag.empty() && entry->Done)
    Tags[entry->Tag] = entry->Try;
  if (entry->StartsTerm)
    History.push_back({entry->End.Term, entry->Start});
}

void FakeServer::rebuild() {
  Rows.clear();
  Markers.clear();
  Tags.clear();
  History.clear();
  for (const auto &it : Log)
    apply(it);
}

std::uint32_t FakeServer::tryOf(const std::string &tag) const {
  auto it = Tags.find(tag);
  return it == Tags.end() ? 0 : it->second;
}

void FakeServer::replicate(Term term, std::size_t first, const EntryPtr &previous,
                           const std::vector<EntryPtr> &entries) {
  if (Down || Raised > term)
    return;
  Raised = term;
  if (Primary && PrimaryTerm < term)
    demote();
  HeardPrimary = Queue.now();
  if (first > Log.size() || (first > 0 && !sameEntry(Log[first - 1], previous)))
    return;
  for (std::size_t n = 0; n < entries.size(); ++n) {
    auto index = first + n;
    if (index < Log.size() && sameEntry(Log[index], entries[n]))
      continue;
    if (index < Log.size()) {
      Log.resize(index);
      rebuild();
    }
    Log.push_back(entries[n]);
    apply(entries[n]);
  }
  releaseWaiters();
}

void FakeServer::becomeInitialPrimary(Term term) {
  Primary = true;
  PrimaryTerm = term;
  Raised = term;
  LogEntry start;
  start.StartsTerm = true;
  append(std::move(start));
}

void FakeServer::demote() {
  Primary = false;
  HeardPrimary = Queue.now();
}

void FakeServer::setDown(bool down) {
  if (Down == down)
    return;
  if (down) {
    killIf([](const auto &) { return true; }, "server stopped");
    Waiters.clear();
  }
  Down = down;
  HeardPrimary = Queue.now();
}

// --- Control

void FakeServer::control(const ControlCall &call, ControlReply reply) {
  if (Down)
    return;
  std::visit(Overloaded{[&](const QueryStatus &it) { queryStatus(call, it, reply); },
                        [&](const RaiseTerm &it) { reply(raise(it.Term)); },
                        [&](const Promote &it) { reply(promote(it.Term)); },
                        [&](const ClaimSlot &it) { reply(claim(it)); },
                        [&](const AbortMarker &it) { reply(abort(it)); }},
             call.Request);
}

TargetStatus FakeServer::status() const {
  TargetStatus out;
  out.Role = isPrimary() ? TargetRole::Primary : TargetRole::Replica;
  out.RaisedTerm = Raised;
  out.Log = end();
  if (!isPrimary())
    out.SincePrimary = Queue.now() - HeardPrimary;
  out.Leaving = Leaving;
  out.History = History;
  return out;
}

void FakeServer::queryStatus(const ControlCall &call, const QueryStatus &request, const ControlReply &reply) {
  if (!request.WaitFor || end() >= *request.WaitFor)
    return reply(status());
  auto id = NextWaiter++;
  Waiters.push_back({id, *request.WaitFor, reply});
  // A fifth of the caller's patience is left for the way back.
  Queue.after(call.Timeout * 4 / 5, [this, id] {
    auto it = std::find_if(Waiters.begin(), Waiters.end(), [&](const auto &w) { return w.Id == id; });
    if (it == Waiters.end())
      return;
    auto answer = std::move(it->Reply);
    Waiters.erase(it);
    answer(status());
  });
}

void FakeServer::releaseWaiters() {
  for (auto it = Waiters.begin(); it != Waiters.end();) {
    if (end() < it->For) {
      ++it;
      continue;
    }
    auto answer = std::move(it->Reply);
    it = Waiters.erase(it);
    answer(status());
  }
}

FakeServer::ControlResult FakeServer::raise(Term term) {
  if (term < Raised)
    return ControlFailure{ControlError::Refused, "a higher term was raised"};
  if (Primary && PrimaryTerm < term)
    demote();
  Raised = term;
  return status();
}

FakeServer::ControlResult FakeServer::promote(Term term) {
  if (term < Raised)
    return ControlFailure{ControlError::Refused, "a higher term was raised"};
  if (isPrimary() && PrimaryTerm == term)
    return status();
  Raised = term;
  Primary = true;
  PrimaryTerm = term;
  for (auto *it : Observers)
    it->onPromoted(*this, term);
  LogEntry start;
  start.StartsTerm = true;
  append(std::move(start));
  return status();
}

FakeServer::ControlResult FakeServer::claim(const ClaimSlot &request) {
  auto &generation = Generations[request.Slot];
  if (request.Generation < generation)
    return ControlFailure{ControlError::Refused, "a higher generation claimed the slot"};
  generation = request.Generation;
  killIf([&](const auto &it) { return it.Slot == request.Slot && it.Generation < request.Generation; },
         "slot claimed by a higher generation");
  return status();
}

FakeServer::ControlResult FakeServer::abort(const AbortMarker &request) {
  if (!isPrimary())
    return ControlFailure{ControlError::Refused, "not the primary"};
  auto it = Markers.find(request.Marker.Key);
  if (it != Markers.end() && (it->second->Done || it->second->Key.Attempt >= request.Marker.Attempt))
    return record(*it->second);
  LogEntry entry;
  entry.Key = request.Marker;
  return record(append(std::move(entry)));
}

std::string FakeServer::describe() const {
  return Name.str() + " " + (isPrimary() ? "primary" : "replica") + " raised=" + std::to_string(Raised) +
         " log=" + std::to_string(end().Term) + "/" + std::to_string(end().Lsn);
}

} // namespace rosemaryhinge::fakes

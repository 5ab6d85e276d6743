// Open-loop arrivals.

#include "load/runner.h"

#include "load/persistentpost.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace rosemaryhinge::load {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PrepareLimit{30'000};
constexpr milliseconds RetryDelay{200};
constexpr int MaxTries = 10;
/// Beyond the request's own deadline, for the answer's way back.
constexpr milliseconds AnswerGrace{2'000};
constexpr std::size_t MaxQueued = 10'000;
constexpr std::uint64_t MaxSessions = 20'000;
/// Share of the acknowledged writes that are sent again with the same key.
constexpr double RepeatShare = 0.02;
constexpr int KeyDigits = 8;

std::string keyOf(std::uint64_t number) {
  auto text = std::to_string(number);
  return std::string(KeyDigits - std::min<std::size_t>(KeyDigits, text.size()), '0') + text;
}

} // namespace

Runner::Runner(asio::io_context &io, RunOptions options)
    : Io(io), Options(std::move(options)), Profile(namedMix(Options.Mix)),
      To(io, Options.Proxies, Options.MaxConnections), Check(io, To, Notes, Profile.Databases, Options.Run),
      Timer(io), Random(Options.Seed) {
  To.Diverted = [this](const Reply &reply) { Counts.diverted(reply); };
}

void Runner::start() { prepare(0); }

void Runner::prepare(std::size_t database) {
  if (database == Profile.Databases.size()) {
    Begin = Next = Clock::now();
    return schedule();
  }
  const auto &name = Profile.Databases[database];
  nlohmann::json body = {{"statements", Profile.Tables}, {"idempotency_key", Options.Run + "-tables"}};
  std::make_shared<PersistentPost>(Io, To, "/v1/db/" + name + "/transaction", body.dump(),
                                   [this, database](const Reply &reply) {
                                     if (reply.Ok)
                                       return prepare(database + 1);
                                     Problem = "tables could not be created: " + reply.Reason;
                                   })
      ->start(PrepareLimit);
}

double Runner::rateAt(double second) const {
  auto crest = second >= Options.CrestAt && second < Options.CrestAt + Options.CrestFor;
  return Options.Rate * (crest ? Options.CrestFactor : 1);
}

void Runner::schedule() {
  std::chrono::duration<double> since = Next - Begin;
  std::chrono::duration<double> gap(std::exponential_distribution<>(rateAt(since.count()))(Random));
  Next += std::chrono::duration_cast<Clock::duration>(gap);
  if (std::chrono::duration<double>(Next - Begin).count() > Options.Seconds) {
    Arriving = false;
    return checkEnd();
  }
  Timer.expires_at(Next);
  Timer.async_wait([this](std::error_code ec) {
    if (ec)
      return;
    arrive(Next);
    schedule();
  });
}

std::shared_ptr<Runner::Session> Runner::takeSession(const std::string &database) {
  auto &idle = IdleSessions[database];
  if (idle.empty()) {
    if (Sessions >= MaxSessions)
      return nullptr;
    auto out = std::make_shared<Session>();
    out->Id = ++Sessions;
    return out;
  }
  auto at = std::uniform_int_distribution<std::size_t>(0, idle.size() - 1)(Random);
  std::swap(idle[at], idle.back());
  auto out = std::move(idle.back());
  idle.pop_back();
  return out;
}

void Runner::arrive(Clock::time_point intended) {
  auto work = std::make_shared<Work>();
  auto &request = work->Request;
  work->Intended = intended;
  request.Class = &Profile.draw(Random);
  request.Number = ++Arrivals;
  request.Key = keyOf(request.Number);
  request.Database =
      Profile.Databases[std::uniform_int_distribution<std::size_t>(0, Profile.Databases.size() - 1)(Random)];
  if (To.queued() >= MaxQueued)
    return Counts.notSent();
  if (request.Class->Type != Kind::AgedRead) {
    work->Caller = takeSession(request.Database);
    if (!work->Caller)
      return Counts.notSent();
    request.Session = work->Caller->Id;
  }
  ++Open;
  send(work);
}

void Runner::send(const std::shared_ptr<Work> &work) {
  ++work->Tries;
  auto body = bodyOf(work->Request, Options.Run, work->Caller ? work->Caller->Token : "", Options.DeadlineMs);
  To.post("/v1/db/" + work->Request.Database + "/transaction", std::move(body),
          milliseconds(Options.DeadlineMs) + AnswerGrace,
          [this, work](const Reply &reply) { answered(work, reply); });
}

void Runner::answered(const std::shared_ptr<Work> &work, const Reply &reply) {
  auto write = work->Request.Class->Type == Kind::Write;
  if (write)
    noteWrite(*work, reply);
  else if (reply.Ok && work->Caller)
    Notes.readOwn(work->Caller->Id, work->Caller->Acknowledged,
                  reply.LastRows.size() == 1 && !reply.LastRows[0].empty() ? reply.LastRows[0][0]
                                                                           : "nothing");
  if (work->Caller && reply.Ok && !reply.Session.empty())
    work->Caller->Token = reply.Session;
  if (write && !reply.Ok && reply.Outcome == Effect::Unknown && work->Tries < MaxTries) {
    Counts.retried(reply);
    return retry(work);
  }
  finish(work, reply);
}

void Runner::noteWrite(Work &work, const Reply &reply) {
  Notes.wrote(work.Request.Database, work.Request.Key, reply.Outcome, reply.Outcome == Effect::Ran);
  if (reply.Ok && !work.Repeat)
    ++work.Caller->Acknowledged;
}

void Runner::retry(const std::shared_ptr<Work> &work) {
  auto timer = std::make_shared<asio::steady_timer>(Io, RetryDelay);
  timer->async_wait([this, timer, work](std::error_code) { send(work); });
}

void Runner::finish(const std::shared_ptr<Work> &work, const Reply &reply) {
  auto type = work->Request.Class->Type;
  if (work->Repeat) {
    Counts.repeated(reply);
  } else {
    std::chrono::duration<double, std::milli> latency = Clock::now() - work->Intended;
    Counts.answered(work->Request.Class->Name, reply, type != Kind::Write, latency.count());
    if (type == Kind::Write && reply.Ok && std::uniform_real_distribution<>(0, 1)(Random) < RepeatShare) {
      work->Repeat = true;
      return send(work);
    }
  }
  if (work->Caller)
    IdleSessions[work->Request.Database].push_back(work->Caller);
  --Open;
  checkEnd();
}

void Runner::checkEnd() {
  if (!Arriving && Open == 0)
    Check.start([this](const std::string &problem) { Problem = problem; });
}

std::string Runner::report() const {
  auto out = Counts.json();
  out["name"] = "load";
  out["mix"] = Options.Mix;
  out["rate"] = Options.Rate;
  out["seconds"] = Options.Seconds;
  out["seed"] = Options.Seed;
  out["arrivals"] = Arrivals;
  out["sessions"] = Sessions;
  out["violations"] = Notes.json();
  out["verified"] = Problem.empty();
  out["problem"] = Problem;
  return out.dump();
}

int Runner::exitCode() const {
  if (Notes.violations() > 0)
    return 1;
  return Problem.empty() ? 0 : 3;
}

} // namespace rosemaryhinge::load

// The callers.

#include "platformsoak/callers.h"

#include <algorithm>
#include <array>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis OpenTimeoutMs = 2'000;
constexpr int Attempts = 3;
/// The first workloads are of one kind each.
constexpr std::size_t RouteKinds = 3;
constexpr double DirectShare = 0.3;
constexpr int Items = 400;
constexpr int MaxStatements = 11;
/// A transaction goes on with this probability after each statement.
constexpr double GoesOn = 0.7;
constexpr Millis MaxStatementPauseMs = 80;
constexpr double RollbackShare = 0.1;
constexpr double LeaveShare = 0.02;
constexpr double BigReadShare = 0.1;
constexpr Millis SlowReadMs = 250;
constexpr Millis ReconnectPauseMs = 50;
constexpr int FloodFactor = 12;
/// Of the sessions whose key is refused; the others go on with it.
constexpr double LeaveRefusedShare = 0.3;

/// Nothing of the attempt is kept.
bool isPromise(const std::string &code) {
  constexpr std::array<std::string_view, 7> Promises = {"NOAUTH",   "BUSY",      "ABORTED", "LAGGING",
                                                        "READONLY", "MISROUTED", "TOOMANY"};
  return std::find(Promises.begin(), Promises.end(), code) != Promises.end();
}

/// The workspace of a caller, by the shares of the workspaces.
std::size_t tenantOf(int number) {
  auto left = number % CallerShares;
  std::size_t out = 0;
  while (left >= Tenants.at(out).Share)
    left -= Tenants.at(out++).Share;
  return out;
}

} // namespace

const std::vector<Workload> &workloads() {
  // About as at Paalisoft: 60 current, 60 bounded and 277 read-your-writes operations a second. Of each kind,
  // some sessions are in steady use: a stopping proxy finds no pause in which to close them.
  static const std::vector<Workload> All = {
      {RouteKind::Primary, "p", 800, 2'500, 0, 0.2, 0.4, false, 40, 800},
      {RouteKind::Bounded, "b", 2'000, 5'000, 1'500, 0, 0.1, true, 24, 350},
      {RouteKind::ReadYourWrites, "r", 800, 2'500, 2'500, 0.12, 0.12, false, 200, 900},
      {RouteKind::Primary, "p", 800, 2'500, 0, 0.2, 0.4, false, 4, 80},
      {RouteKind::Bounded, "b", 2'000, 5'000, 1'500, 0, 0.1, false, 4, 80},
      {RouteKind::ReadYourWrites, "r", 800, 2'500, 2'500, 0.12, 0.12, false, 6, 80},
  };
  return All;
}

std::span<const Workload> routeWorkloads() { return std::span(workloads()).first(RouteKinds); }

Caller::Caller(CallerContext &context, const Workload &workload, std::string zone, int number,
               std::uint64_t seed)
    : Context(context), Work(workload), Zone(std::move(zone)), Number(number), Random(seed),
      Session(context.Seen, workload.HostPrefix + std::to_string(number)),
      Service(*context.Services.at(static_cast<std::size_t>(number) % context.Services.size())),
      Host(workload.HostPrefix + std::to_string(static_cast<std::size_t>(number) % context.Services.size())),
      Tenant(isAnonymous(static_cast<std::size_t>(number) % context.Services.size())
                 ? std::nullopt
                 : std::optional(tenantOf(number))),
      Direct(roll() < DirectShare) {}

int Caller::haste() const {
  const bool floods = Tenant == Context.FloodTenant.load() && Context.FloodUntil > nowMs();
  return (Context.BurstUntil > nowMs() ? 2 : 1) * (floods ? FloodFactor : 1);
}

void Caller::run() {
  std::exponential_distribution<double> pause(1.0 / static_cast<double>(Work.PauseMs));
  while (!Context.Over) {
    const auto wait = static_cast<Millis>(pause(Random)) / haste();
    if (Work.Fresh || !Session.isOpen())
      sleepMs(wait);
    else if (!Session.idle(wait)) {
      // A long session comes back after a close.
      sleepMs(static_cast<Millis>(roll() * ReconnectPauseMs));
      EndBy = nowMs() + Work.DeadlineMs;
      open(0);
      continue;
    }
    if (!Context.Over)
      operation();
  }
}

bool Caller::open(int attempt) {
  const auto hash = static_cast<std::uint64_t>(Number) * 2'654'435'761U + static_cast<std::uint64_t>(attempt);
  const auto proxy = Context.Entry.choose(Zone, hash);
  const int port = Direct ? Context.Proxies[proxy]->callersPort() : Context.Networks[proxy]->port();
  OwnCommit = 0;
  ++Context.Counts.Sessions;
  return Session
      .open(port, static_cast<int>(proxy), Host, OpenTimeoutMs,
            Tenant ? Context.Operator.chooseKey(*Tenant, roll()) : "")
      .empty();
}

void Caller::operation() {
  EndBy = nowMs() + Work.DeadlineMs;
  auto outcome = Outcome::Retry;
  for (int n = 0; n < Attempts && outcome == Outcome::Retry && nowMs() < EndBy; ++n)
    outcome = attempt(n);
  ++(outcome == Outcome::Served ? Context.Counts.Served : Context.Counts.Failed);
  if (Work.Fresh)
    Session.close();
}

Caller::Outcome Caller::attempt(int number) {
  if (!Session.isOpen() && !open(number)) {
    sleepMs(ReconnectPauseMs);
    return Outcome::Retry;
  }
  Session.readSlowly(Context.SlowUntil > nowMs() && roll() < 0.5 ? SlowReadMs : 0);
  noteNeeds();
  if (roll() < Work.TransactionShare)
    return transaction();
  bool writes = false;
  const auto answer = send(randomStatement(true, writes));
  if (answer.Complete && answer.Error.empty() && writes)
    OwnCommit = Context.Seen.commitPosition(LastId);
  return after(answer, writes);
}

Caller::Outcome Caller::transaction() {
  const bool readOnly = Work.WriteShare == 0;
  bool writes = false, wrote = false;
  auto answer = send(readOnly ? "BEGIN READ" : "BEGIN");
  for (int n = 0; n < MaxStatements && answer.Complete && answer.Error.empty(); ++n) {
    if (n > 1 && roll() > GoesOn)
      break;
    if (!Session.idle(static_cast<Millis>(roll() * MaxStatementPauseMs)))
      return Outcome::Retry;
    if (roll() < LeaveShare) {
      Session.close();
      return Outcome::Served;
    }
    answer = send(randomStatement(!readOnly, writes));
    wrote = wrote || writes;
  }
  if (!answer.Complete || !answer.Error.empty()) {
    const auto outcome = after(answer, false);
    if (Session.isOpen())
      send("ROLLBACK");
    return outcome;
  }
  if (roll() < RollbackShare)
    return after(send("ROLLBACK"), false);
  answer = send("COMMIT");
  if (answer.Complete && answer.Error.empty() && wrote)
    OwnCommit = Context.Seen.commitPosition(LastId);
  return after(answer, wrote);
}

Answer Caller::send(const std::string &text) {
  Request request;
  request.Id = newRequestId();
  request.Text = text;
  request.Host = Host;
  request.Service = Service.options().Name;
  request.Kind = Work.Kind;
  request.TimeoutMs = Work.TimeoutMs;
  request.DeadlineMs = std::max<Millis>(1, EndBy - nowMs());
  request.NeedsPosition = Needs;
  LastId = request.Id;
  auto out = Session.query(std::move(request));
  // Operations end outside a transaction, or the session ends.
  if (out.Complete &&
      ((out.State != 'I' && text == "ROLLBACK") || (out.Error == "NOAUTH" && roll() < LeaveRefusedShare)))
    Session.close();
  return out;
}

Caller::Outcome Caller::after(const Answer &answer, bool mayHaveRun) const {
  if (answer.Complete && answer.Error.empty())
    return Outcome::Served;
  if (answer.Complete && isPromise(answer.Error))
    return Outcome::Retry;
  return mayHaveRun ? Outcome::Failed : Outcome::Retry;
}

std::string Caller::randomItem() {
  return std::to_string(std::uniform_int_distribution<int>(0, Items - 1)(Random));
}

std::string Caller::randomStatement(bool mayWrite, bool &writes) {
  writes = mayWrite && roll() < Work.WriteShare;
  if (writes)
    return "WRITE k" + randomItem() + " v" + newRequestId();
  const bool big = Context.SlowUntil > nowMs() && roll() < BigReadShare;
  return (big ? "READ big" : "READ k") + randomItem();
}

void Caller::noteNeeds() {
  const auto now = nowMs();
  Needs = Service.acknowledgedBefore(now - Work.MaxStalenessMs);
  if (Work.Kind == RouteKind::ReadYourWrites)
    Needs = std::max(Needs, OwnCommit);
}

} // namespace rosemaryhinge::platformsoak

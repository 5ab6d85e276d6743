// The report of a run.

#include "platformsoak/report.h"

#include "platformsoak/processlog.h"

#include <algorithm>
#include <ostream>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr std::size_t LinesShown = 30;
constexpr std::size_t ViolationsShown = 20;

std::string afterTerm(const ProcessLife &life, Millis at) {
  return life.Terms.empty() ? "no SIGTERM" : std::to_string(at - life.Terms.front()) + " ms after SIGTERM";
}

void showRun(std::ostream &out, const ServerRun &it, const ProcessLife &life) {
  out << "    server " << it.Server << ": received " << afterTerm(life, it.ReceivedAt) << ", ";
  if (it.DoneAt)
    out << "done " << *it.DoneAt - it.ReceivedAt << " ms later";
  else
    out << "still at work";
  out << (it.ProxyGone ? ", the proxy had ended the connection" : "")
      << (it.ServerBroke ? ", the server ended first" : "") << "\n";
}

} // namespace

void Report::stops(RunFigures &figures) {
  for (const auto &proxy : All)
    for (const auto &it : proxy) {
      const auto lines = readLines(it.LogFile);
      figures.LinesLeftOut += leftOut(lines);
      if (it.Terms.empty() && !it.EndedAt)
        continue;
      if (it.CrashedAt) {
        const bool killed = it.EndedAt && it.How == "by signal 9";
        figures.BadEnds += killed ? 0 : 1;
        Out << "kill: proxy " << it.Proxy + 1 << "." << it.Number << " at " << *it.CrashedAt << " ms, "
            << (it.EndedAt ? "ended " + it.How : "still runs") << "\n";
        continue;
      }
      const bool orderly = endsWithEnded(lines) && it.EndedAt && !it.KilledAt && !it.Terms.empty();
      figures.Stops += it.Terms.empty() ? 0 : 1;
      figures.BadEnds += orderly ? 0 : 1;
      Out << "stop: proxy " << it.Proxy + 1 << "." << it.Number << ", " << it.Terms.size() << " SIGTERM, "
          << it.Hups.size() << " SIGHUP, ";
      if (it.EndedAt)
        Out << "ended " << it.How << ", " << afterTerm(it, *it.EndedAt);
      else
        Out << "still runs";
      Out << (it.KilledAt ? ", killed after the grace" : "")
          << (endsWithEnded(lines) ? "" : ", WITHOUT the line \"ended\"") << "\n";
    }
}

void Report::cut(const Request &request, const std::vector<ServerRun> &runs, const ProcessLife &life,
                 LostVerdict verdict, RunFigures &figures) {
  const auto lines = readLines(life.LogFile);
  const bool named = names(lines, request.Id);
  const bool lost = verdict == LostVerdict::Lost;
  figures.Lost += lost ? 1 : 0;
  figures.LostUnnamed += lost && !named ? 1 : 0;
  figures.ServedWhileCut += runs.empty() ? 0 : 1;
  Out << (lost ? "LOST: " : "cut, excused: ") << "request " << request.Id << " (" << request.Host << ", "
      << request.Text.substr(0, 20) << ") at proxy " << life.Proxy + 1 << "." << life.Number << ", sent "
      << afterTerm(life, request.SentAt) << ", cut " << request.EndedAt - request.SentAt << " ms later; "
      << describe(verdict) << "; the log " << (named ? "names it" : "does not name it")
      << ", lines left out: " << leftOut(lines) << ", process "
      << (life.EndedAt ? "ended " + afterTerm(life, *life.EndedAt) : "runs") << "\n";
  for (const auto &it : runs)
    showRun(Out, it, life);
  if (!lost)
    return;
  for (auto n = lines.size() - std::min(lines.size(), LinesShown); n < lines.size(); ++n)
    Out << "    log: " << lines[n].substr(0, 300) << "\n";
}

void Report::cuts(const std::vector<Request> &requests, const Runs &runs,
                  const std::vector<Disruption> &disruptions, RunFigures &figures) {
  static const std::vector<ServerRun> None;
  for (const auto &it : requests) {
    if (it.Ending != Ending::Cut)
      continue;
    const auto *life = lifeAt(All, it.Proxy, it.OpenedAt);
    if (!life)
      continue;
    const auto found = runs.find(it.Id);
    const auto &own = found == runs.end() ? None : found->second;
    const auto verdict = judgeLost(it, own, *life, disruptions);
    if (verdict != LostVerdict::NotTaken && verdict != LostVerdict::HeldUp)
      cut(it, own, *life, verdict, figures);
  }
}

void Report::refusals(const std::vector<Request> &requests, RunFigures &figures) {
  for (const auto &it : requests)
    if (!it.Error.empty())
      ++figures.Refusals[it.Error + (it.Key.empty() ? " (anonymous)" : "")];
}

void Report::violations(const std::vector<Violation> &found, RunFigures &figures) {
  for (const auto &it : found)
    if (static_cast<std::size_t>(++figures.Rules[it.Rule]) <= ViolationsShown)
      Out << it.Rule << ": " << it.Text << "\n";
}

void Report::summary(const RunFigures &figures) {
  Out << "summary: " << figures.Stops << " stops, " << figures.BadEnds << " bad ends, " << figures.Served
      << " operations served, " << figures.Failed << " failed, " << figures.Sessions << " sessions; LOST "
      << figures.Lost << " (" << figures.LostUnnamed << " not named in the log), cut with a run "
      << figures.ServedWhileCut << ", log lines left out " << figures.LinesLeftOut;
  for (const auto &[code, count] : figures.Refusals)
    Out << ", " << code << " " << count;
  for (const auto &[rule, count] : figures.Rules)
    Out << ", " << rule << " " << count;
  Out << std::endl;
}

} // namespace rosemaryhinge::platformsoak

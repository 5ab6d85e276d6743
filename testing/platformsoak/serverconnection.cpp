// A connection to a database server.

#include "platformsoak/serverconnection.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis StatusMs = 1;
/// A connection whose other end cannot be reached is dropped then.
constexpr Millis DropAfterMs = 3'000;
constexpr double TailShare = 0.03;
constexpr double TailFactor = 7;
constexpr double MeanWorkMs = 14;
/// Of a lognormal distribution.
constexpr double Spread = 0.7;
constexpr std::size_t BigRowBytes = 200'000;

Millis workMs(std::mt19937_64 &random) {
  std::lognormal_distribution<double> usual(std::log(MeanWorkMs) - Spread * Spread / 2, Spread);
  const bool tail = std::uniform_real_distribution<double>(0, 1)(random) < TailShare;
  return std::min<Millis>(270, static_cast<Millis>(usual(random) * (tail ? TailFactor : 1)) + 1);
}

} // namespace

bool ServerConnection::present() {
  const std::lock_guard hold(Of.Lock);
  return Of.present(Server, Incarnation);
}

bool ServerConnection::greet() {
  std::string line;
  if (Socket.read(line) != ReadResult::Line || !passNetwork())
    return false;
  const auto fields = words(line);
  User = fields.size() > 2 ? fields[2] : "";
  std::string refusal;
  {
    const std::lock_guard hold(Of.Lock);
    if (Server.Conns > Of.Options.MaxConns)
      refusal = "TOOMANY";
    if (fields.size() < 3 || fields[0] != "STARTUP" || fields[1] != Of.Options.Name ||
        (fields.size() > 3 && fields[3] != Server.Id))
      refusal = "MISROUTED";
  }
  if (!refusal.empty()) {
    sendAll(Socket.fd(), "ERROR " + refusal + " " + Server.Id + "\r\n");
    return false;
  }
  return Of.work(Server, Incarnation, Of.Options.HandshakeMs) && passNetwork() &&
         sendAll(Socket.fd(), ready());
}

void ServerConnection::serve() {
  std::string line;
  if (greet())
    while (Socket.read(line) == ReadResult::Line && passNetwork() && present()) {
      auto rest = line;
      if (takeWord(rest) != "QUERY")
        break;
      const auto id = takeWord(rest);
      auto reply = run(id, rest);
      if (reply.empty())
        break;
      reply += ready();
      if (!passNetwork() || !sendAll(Socket.fd(), reply))
        break;
    }
  {
    const std::lock_guard hold(Of.Lock);
    Server.Fds.erase(Socket.fd());
    --Server.Conns;
  }
  // The proxy learns of the end only then.
  sleepMs(std::max<Millis>(0, cutUntil() - nowMs()));
  ::close(Socket.fd());
}

Millis ServerConnection::cutUntil() {
  {
    const std::lock_guard hold(Of.Lock);
    if (Server.LostUntil <= nowMs())
      return 0;
  }
  if (!Proxy)
    Proxy = Of.ProxyOf ? Of.ProxyOf(Socket.fd()) : std::nullopt;
  const std::lock_guard hold(Of.Lock);
  return *Proxy && Server.LostBy.contains(**Proxy) ? Server.LostUntil : 0;
}

bool ServerConnection::passNetwork() {
  const auto wait = cutUntil() - nowMs();
  if (wait <= 0)
    return true;
  sleepMs(std::min(wait, DropAfterMs));
  return wait <= DropAfterMs;
}

std::string ServerConnection::ready() {
  const std::lock_guard hold(Of.Lock);
  return std::string("READY ") + State + " " + std::to_string(Server.Term) + "." +
         std::to_string(Of.applied(Server)) + "\r\n";
}

std::string ServerConnection::statusRow() {
  const std::lock_guard hold(Of.Lock);
  return std::string("ROW ") + (Server.Leads ? "primary " : "replica ") + std::to_string(Server.Term) + " " +
         std::to_string(Server.Term) + "." + std::to_string(Server.Log.end()) + " " +
         std::to_string(Server.HeldTerm) + " 0 " + std::to_string(Server.Busy) + " " +
         std::to_string(Server.Conns) + "\r\nCOMPLETE -\r\n";
}

std::string ServerConnection::sign() {
  return std::to_string(Server.Term) + "." + Of.Options.Name + "." + std::to_string(++Of.Signatures);
}

std::string ServerConnection::refuse(const std::string &code) {
  if (State == 'T')
    State = 'E';
  return "ERROR " + code + " " + Server.Id + "\r\n";
}

std::string ServerConnection::run(const std::string &id, std::string text) {
  auto word = takeWord(text);
  bool lacks = false;
  if (word == "AFTERLSN") {
    const auto at = takeWord(text);
    const auto dot = at.find('.');
    const std::lock_guard hold(Of.Lock);
    lacks = std::pair(Server.Term, Of.applied(Server)) <
            std::pair<std::uint64_t, std::uint64_t>(std::stoull(at), std::stoull(at.substr(dot + 1)));
    word = takeWord(text);
  }
  if (word == "BEGIN")
    return begin(text, lacks);
  if (word == "ROLLBACK") {
    State = 'I';
    Writes.clear();
    return "COMPLETE -\r\n";
  }
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN")
    return runOrder(word, text);
  if (word == "SET" || word == "DEALLOCATE")
    return "COMPLETE -\r\n";
  if (word == "DISCARD") {
    Prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (word == "PREPARE") {
    const auto name = takeWord(text);
    Prepared[name] = takeWord(text);
    return "COMPLETE -\r\n";
  }
  if (State == 'E')
    return "ERROR MALFORMED the transaction has failed\r\n";
  if (id != "-")
    Of.Seen.addArrival({id, User, Server.Id, 0, State == 'I' || std::exchange(First, false)});
  if (lacks)
    return refuse("LAGGING");
  return runStatement(id, word, text);
}

std::string ServerConnection::runOrder(const std::string &word, const std::string &rest) {
  if (word == "STATUS")
    return Of.work(Server, Incarnation, StatusMs) ? statusRow() : "";
  const std::uint64_t term = rest.empty() ? 0 : std::stoull(rest);
  if (const auto delay = Of.orderDelay(); delay > 0) {
    std::thread([&of = Of, &server = Server, incarnation = Incarnation, word, term, delay] {
      sleepMs(delay);
      const std::lock_guard hold(of.Lock);
      if (!of.present(server, incarnation))
        return;
      of.Seen.line("late order " + word + " " + std::to_string(term) + " at " + server.Id);
      carryOut(server, word, term);
    }).detach();
    return "";
  }
  {
    const std::lock_guard hold(Of.Lock);
    carryOut(Server, word, term);
  }
  return statusRow();
}

void ServerConnection::carryOut(DbServer &server, const std::string &word, std::uint64_t term) {
  if (word == "PAUSE" && !server.Leads && term > server.Term)
    server.HeldTerm = term;
  if (word == "RESUME")
    server.HeldTerm = 0;
  if (word == "STEPDOWN" && server.Leads && term > server.Term)
    server.Leads = false;
}

std::string ServerConnection::begin(const std::string &rest, bool lacks) {
  const std::lock_guard hold(Of.Lock);
  if (lacks)
    return "ERROR LAGGING " + Server.Id + "\r\n";
  ReadOnly = rest == "READ";
  if (!ReadOnly && !Server.Leads)
    return "ERROR READONLY " + Server.Id + "\r\n";
  State = 'T';
  First = true;
  Term = Server.Term;
  Writes.clear();
  return "COMPLETE -\r\n";
}

std::string ServerConnection::runStatement(const std::string &id, const std::string &word,
                                           const std::string &text) {
  auto rest = text;
  auto what = word;
  if (word == "EXECUTE") {
    const auto it = Prepared.find(takeWord(rest));
    if (it == Prepared.end())
      return refuse("NOSTMT");
    what = it->second;
  }
  bool lostLead = false;
  {
    const std::lock_guard hold(Of.Lock);
    lostLead = State == 'T' && !ReadOnly && (!Server.Leads || Server.Term != Term);
  }
  if (lostLead && !(what == "COMMIT" && Writes.empty()))
    return refuse("READONLY");
  if (what == "COMMIT" && State == 'T')
    return endTransaction(id);
  const auto item = takeWord(rest);
  if (what == "READ")
    return read(id, item);
  if (what == "WRITE")
    return write(id, item, rest);
  return "ERROR MALFORMED " + what + "\r\n";
}

bool ServerConnection::workOn(const std::string &id, const std::string &signature, const std::string &rows,
                              Millis ms) {
  ServerRun note;
  note.Server = Server.Id;
  note.ReceivedAt = nowMs();
  note.Signature = signature;
  note.Rows = rows;
  {
    const std::lock_guard hold(Of.Lock);
    note.Position = orderedPosition(Server.Term, Of.applied(Server));
  }
  const auto index = Of.Seen.startRun(id, note);
  const bool held = Of.work(Server, Incarnation, ms);
  note.DoneAt = nowMs();
  note.ServerBroke = !held;
  note.ProxyGone = held && peerGone(Socket.fd());
  Of.Seen.finishRun(id, index, note);
  return held;
}

std::string ServerConnection::read(const std::string &id, const std::string &item) {
  const auto signature = sign();
  std::string row;
  {
    const std::lock_guard hold(Of.Lock);
    row = Of.valueAt(item, Server);
  }
  if (item.starts_with("big"))
    row.append(BigRowBytes, 'x');
  if (!workOn(id, signature, row.substr(0, 64), workMs(Random)))
    return "";
  return "ROW " + row + "\r\nCOMPLETE " + signature + "\r\n";
}

std::string ServerConnection::write(const std::string &id, const std::string &item,
                                    const std::string &value) {
  std::uint64_t term = 0;
  bool leads = false;
  {
    const std::lock_guard hold(Of.Lock);
    term = Server.Term;
    leads = Server.Leads;
  }
  if (!leads || ReadOnly)
    return refuse("READONLY");
  const auto signature = sign();
  if (!workOn(id, signature, "", workMs(Random)))
    return "";
  if (State == 'T') {
    Writes.push_back({id, item, value});
    return "COMPLETE " + signature + "\r\n";
  }
  return Of.commit(Server, term, id, {{id, item, value}}) ? "COMPLETE " + signature + "\r\n"
                                                          : "ERROR TIMEOUT " + Server.Id + "\r\n";
}

std::string ServerConnection::endTransaction(const std::string &id) {
  const auto signature = sign();
  const auto writes = std::exchange(Writes, {});
  State = 'I';
  if (!workOn(id, signature, "", workMs(Random)))
    return "";
  if (writes.empty())
    return "COMPLETE " + signature + "\r\n";
  return Of.commit(Server, Term, id, writes) ? "COMPLETE " + signature + "\r\n"
                                             : "ERROR TIMEOUT " + Server.Id + "\r\n";
}

} // namespace rosemaryhinge::platformsoak

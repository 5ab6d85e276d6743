// The groups of misbehaving clients.

#include "misbehavingclients/groups.h"

namespace rosemaryhinge::misbehavingclients {

namespace {

constexpr std::size_t MaxMessage = std::size_t{1} << 20;
constexpr std::size_t KiB = 1'024;
const std::string Startup = "STARTUP p0 client\r\n";

/// Lines that differ in a number: Prefix, number, Middle.
std::string numbered(int count, const std::string &prefix, const std::string &middle, bool large) {
  std::string out;
  for (int n = 0; n < count; ++n) {
    auto line = prefix;
    line.append(std::to_string(n)).append(middle);
    if (large)
      out += largeStatement(line);
    else
      out.append(line).append("\r\n");
  }
  return out;
}

std::string largeReads(int count) { return numbered(count, "QUERY q", " READ item1 ", true); }

std::string largeValues(int count) {
  std::string out;
  for (int n = 0; n < count; ++n)
    out += largeStatement("QUERY s" + std::to_string(n) + " SET name" + std::to_string(n) + " ");
  return out;
}

std::string unfinished(std::size_t bytes) { return "QUERY u READ item1 " + std::string(bytes, 'x'); }

} // namespace

std::string largeStatement(const std::string &text) {
  constexpr std::size_t Reserve = 64;
  return text + std::string(MaxMessage - Reserve - text.size(), 'x') + "\r\n";
}

std::vector<GroupPlan> groups() {
  std::vector<GroupPlan> out;
  const auto add = [&out](const char *name, const char *guards, int clients,
                          std::string sends) -> GroupPlan & {
    GroupPlan plan;
    plan.Name = name;
    plan.Guards = guards;
    plan.Clients = clients;
    plan.Sends = std::move(sends);
    return out.emplace_back(std::move(plan));
  };
  add("unread-pipelines", "statements are queued without a bound on their bytes", 60,
      Startup + largeReads(30));
  add("small-pipelines", "small statements are queued without a bound", 60,
      Startup + numbered(40'000, "QUERY q", " READ item1", false));
  add("large-messages", "many connections complete a large message at once", 200, Startup + largeReads(2))
      .ReadBytes = 64 * KiB;
  auto &pieces = add("large-messages-in-pieces", "many large messages are incomplete at once", 200,
                     Startup + largeReads(2));
  pieces.ReadBytes = 64 * KiB;
  pieces.PieceBytes = 1'000;
  add("large-session-values", "session values are kept without a bound on their bytes", 60,
      Startup + largeValues(30))
      .ReadBytes = 64 * KiB;
  add("lines-without-end", "incomplete messages are kept without a bound over all connections", 400,
      Startup + unfinished(900 * KiB));
  add("messages-over-the-limit", "a message over the limit is kept", 200,
      Startup + unfinished(8 * MaxMessage));
  auto &slowSenders =
      add("slow-senders", "slowly sent messages accumulate", 300, Startup + unfinished(900 * KiB));
  slowSenders.SlowFrom = 600 * KiB;
  slowSenders.PauseMs = 20;
  // One read at a time, at a rate that the servers of the stand-in can follow.
  const std::string read = "QUERY q READ big1\r\n";
  std::string reads;
  for (int n = 0; n < 30; ++n)
    reads += read;
  auto &slowReaders =
      add("slow-readers", "answers that are read slowly accumulate", 120, "STARTUP b0 cli\r\n" + reads);
  slowReaders.PieceBytes = read.size();
  slowReaders.PauseMs = 300;
  slowReaders.ReadBytes = 1;
  slowReaders.HoldMs = 12'000;
  add("connections-without-session", "connections that start no session use up the descriptors", 1'500, "");
  add("half-closed", "a half-closed connection keeps its incomplete message", 300,
      Startup + unfinished(600 * KiB))
      .HalfCloses = true;
  add("half-closed-pipelines", "a half-closed connection keeps its statements", 60, Startup + largeReads(3))
      .HalfCloses = true;
  return out;
}

} // namespace rosemaryhinge::misbehavingclients

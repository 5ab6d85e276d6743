// Parses the command line with popt.

#include "ctl/options.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace rosemaryhinge::ctl {

namespace {

struct CommandHelp {
  std::string_view Name;
  std::string_view Arguments;
  std::string_view Meaning;
  std::string_view Example;
  std::size_t MinArguments;
  std::size_t MaxArguments;
};

constexpr std::array Commands = {
    CommandHelp{"status", "", "State of a proxy: readiness, settings revision, members, databases.",
                "rosemaryhingectl status --admin 10.0.0.1:7303", 0, 0},
    CommandHelp{"targets", "", "Database servers: role, term, position, connections in use.",
                "rosemaryhingectl targets --output json", 0, 0},
    CommandHelp{"sessions", "", "Requests and transactions in flight.", "rosemaryhingectl sessions", 0, 0},
    CommandHelp{"settings get", "[PATH]", "Effective settings in force, and the node that each comes from.",
                "rosemaryhingectl settings get /paalisoft/merchant-db/weighing", 0, 1},
    CommandHelp{"settings set", "PATH KEY VALUE | --file FILE",
                "Sets one override, or replaces the whole tree. Refused as a whole if anything is wrong.",
                "rosemaryhingectl settings set /paalisoft/merchant-db read.wait 40ms --author aino --why "
                "'slow replica' --wait",
                0, 3},
    CommandHelp{"settings unset", "PATH KEY", "Removes one override; the node inherits again.",
                "rosemaryhingectl settings unset /paalisoft/merchant-db read.wait --author aino --wait", 2,
                2},
    CommandHelp{"settings diff", "[--file FILE | --from N --to N]",
                "Differences of a file to the tree in the store, or the changes between two revisions.",
                "rosemaryhingectl settings diff --from 4 --to 9", 0, 0},
    CommandHelp{"settings history", "[PATH]",
                "Changes at a node and below: who, when, why, old and new value.",
                "rosemaryhingectl settings history /paalisoft", 0, 1},
    CommandHelp{"settings verify", "",
                "Proves for each live member which revision is in force, and since when.",
                "rosemaryhingectl settings verify", 0, 0},
    CommandHelp{"report", "--since T", "What was promised, what happened, why, and who changed what.",
                "rosemaryhingectl report --since 10h", 0, 0},
    CommandHelp{
        "explain", "ID [FILE...]",
        "From the id of a request to its cause: its log line, and what its proxy and service went through "
        "around it. Reads log files, or standard input.",
        "rosemaryhingectl explain 5c0e7a21d94b36f8 /var/log/rosemaryhinge/*.log", 1, 10'000},
    CommandHelp{"check", "FILE", "Checks a tree without any proxy.",
                "rosemaryhingectl check scripts/settings/paalisoft.yaml", 1, 1},
};

/// popt writes texts to C strings that belong to the caller.
struct RawOptions {
  char *Admin = nullptr;
  char *Output = nullptr;
  char *File = nullptr;
  char *Author = nullptr;
  char *Why = nullptr;
  char *ChangeId = nullptr;
  char *Since = nullptr;
  char *Timeout = nullptr;
  long long Revision = -1;
  long long From = 0;
  long long To = -1;
  int Wait = 0;
  int DryRun = 0;
  int Help = 0;

  RawOptions() = default;
  RawOptions(const RawOptions &) = delete;
  RawOptions &operator=(const RawOptions &) = delete;
  ~RawOptions() {
    for (auto *it : {Admin, Output, File, Author, Why, ChangeId, Since, Timeout})
      std::free(it);
  }
};

std::string text(const char *value, std::string fallback = {}) {
  return value == nullptr ? std::move(fallback) : std::string(value);
}

std::vector<std::string> split(const std::string &list) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at <= list.size();) {
    auto end = std::min(list.find(',', at), list.size());
    if (end > at)
      out.push_back(list.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

std::string commandList() {
  std::string out = "rosemaryhingectl COMMAND [OPTION...]\n\nCommands:\n";
  for (const auto &it : Commands)
    out += "  " + std::string(it.Name) + (it.Arguments.empty() ? "" : " ") + std::string(it.Arguments) +
           "\n      " + std::string(it.Meaning) + "\n";
  return out + "\nOptions:\n"
               "  --admin HOST:PORT[,HOST:PORT...]  admin addresses of proxies, tried in order; default\n"
               "                                    $ROSEMARYHINGE_ADMIN or 127.0.0.1:7303\n"
               "  --output text|json                default text\n"
               "  --author NAME --why TEXT          who changes settings, and the reason for the history\n"
               "  --revision N                      the revision you saw; default: the one in force now\n"
               "  --change-id ID                    repeat an earlier change whose outcome was unknown\n"
               "  --wait --timeout DURATION         wait until the change is in force on every live member\n"
               "  --dry-run                         show effective values before and after; change nothing\n"
               "  --file FILE                       whole tree as YAML\n"
               "  --from N --to N                   revisions, for settings diff and history\n"
               "  --since T                         10h, 30min or 2026-12-04T06:00:00Z, for report\n"
               "  --help                            this text, or the text of a command\n\n"
               "Example:\n  rosemaryhingectl settings verify --admin 10.0.0.1:7303,10.0.0.2:7303\n";
}

std::string commandHelp(const CommandHelp &it) {
  return "rosemaryhingectl " + std::string(it.Name) + " " + std::string(it.Arguments) + "\n\n" +
         std::string(it.Meaning) + "\n\nExample:\n  " + std::string(it.Example) +
         "\n\n'rosemaryhingectl --help' lists all commands and options.\n";
}

ParsedOptions usage(std::string message) { return {std::nullopt, std::move(message), false}; }

const CommandHelp *findCommand(std::vector<std::string> &words) {
  for (const auto &it : Commands) {
    auto space = it.Name.find(' ');
    bool two = space != std::string_view::npos;
    if (words.empty() || words[0] != it.Name.substr(0, space))
      continue;
    if (two && (words.size() < 2 || words[1] != it.Name.substr(space + 1)))
      continue;
    words.erase(words.begin(), words.begin() + (two ? 2 : 1));
    return &it;
  }
  return nullptr;
}

ParsedOptions interpret(const RawOptions &raw, std::vector<std::string> words) {
  if (words.empty())
    return {std::nullopt, commandList(), raw.Help != 0};
  auto name = words[0];
  const auto *command = findCommand(words);
  if (command == nullptr)
    return usage("unknown command '" + name + "'; 'rosemaryhingectl --help' lists the commands\n");
  if (raw.Help != 0)
    return {std::nullopt, commandHelp(*command), true};
  Options out;
  out.Command = command->Name;
  out.Arguments = std::move(words);
  const auto *admin = std::getenv("ROSEMARYHINGE_ADMIN"); // NOLINT(concurrency-mt-unsafe)
  out.Admins = split(text(raw.Admin, text(admin, "127.0.0.1:7303")));
  auto output = text(raw.Output, "text");
  if (output != "text" && output != "json")
    return usage("--output must be text or json, not '" + output + "'\n");
  out.Json = output == "json";
  out.File = text(raw.File);
  const auto *user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
  out.Author = text(raw.Author, text(user));
  out.Why = text(raw.Why);
  out.ChangeId = text(raw.ChangeId);
  out.Since = text(raw.Since);
  out.Timeout = text(raw.Timeout, out.Timeout);
  out.Revision = raw.Revision;
  out.From = raw.From;
  out.To = raw.To;
  out.Wait = raw.Wait != 0;
  out.DryRun = raw.DryRun != 0;
  auto minimum = command->Name == "settings set" && out.File.empty() ? std::size_t{3} : command->MinArguments;
  if (out.Arguments.size() < minimum || out.Arguments.size() > command->MaxArguments)
    return usage("wrong number of arguments\n\n" + commandHelp(*command));
  if (out.Command == "report" && out.Since.empty())
    return usage("--since is missing\n\n" + commandHelp(*command));
  bool changes = out.Command == "settings set" || out.Command == "settings unset";
  if (changes && out.Author.empty())
    return usage("--author is missing: the history names who changed what\n\n" + commandHelp(*command));
  if (out.Admins.empty())
    return usage("--admin names no address; give HOST:PORT of a proxy's admin port\n");
  return {std::move(out), {}, false};
}

} // namespace

ParsedOptions parseOptions(int argc, const char **argv) {
  RawOptions raw;
  const std::array table = {
      poptOption{"admin", 'a', POPT_ARG_STRING, &raw.Admin, 0, nullptr, nullptr},
      poptOption{"output", 'o', POPT_ARG_STRING, &raw.Output, 0, nullptr, nullptr},
      poptOption{"file", 'f', POPT_ARG_STRING, &raw.File, 0, nullptr, nullptr},
      poptOption{"author", 0, POPT_ARG_STRING, &raw.Author, 0, nullptr, nullptr},
      poptOption{"why", 0, POPT_ARG_STRING, &raw.Why, 0, nullptr, nullptr},
      poptOption{"change-id", 0, POPT_ARG_STRING, &raw.ChangeId, 0, nullptr, nullptr},
      poptOption{"since", 's', POPT_ARG_STRING, &raw.Since, 0, nullptr, nullptr},
      poptOption{"timeout", 't', POPT_ARG_STRING, &raw.Timeout, 0, nullptr, nullptr},
      poptOption{"revision", 'r', POPT_ARG_LONGLONG, &raw.Revision, 0, nullptr, nullptr},
      poptOption{"from", 0, POPT_ARG_LONGLONG, &raw.From, 0, nullptr, nullptr},
      poptOption{"to", 0, POPT_ARG_LONGLONG, &raw.To, 0, nullptr, nullptr},
      poptOption{"wait", 'w', POPT_ARG_NONE, &raw.Wait, 0, nullptr, nullptr},
      poptOption{"dry-run", 'n', POPT_ARG_NONE, &raw.DryRun, 0, nullptr, nullptr},
      poptOption{"help", 'h', POPT_ARG_NONE, &raw.Help, 0, nullptr, nullptr},
      poptOption{nullptr, 0, 0, nullptr, 0, nullptr, nullptr},
  };
  std::unique_ptr<std::remove_pointer_t<poptContext>, decltype(&poptFreeContext)> context(
      poptGetContext("rosemaryhingectl", argc, argv, table.data(), 0), &poptFreeContext);
  if (auto rc = poptGetNextOpt(context.get()); rc < -1)
    return usage(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(rc) +
                 "; 'rosemaryhingectl --help' lists the options\n");
  std::vector<std::string> words;
  for (const char *it = poptGetArg(context.get()); it != nullptr; it = poptGetArg(context.get()))
    words.emplace_back(it);
  return interpret(raw, std::move(words));
}

} // namespace rosemaryhinge::ctl

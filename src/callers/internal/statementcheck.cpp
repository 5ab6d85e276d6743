// Scans SQL by PostgreSQL's lexical rules: strings, quoted names, dollar quotes and comments.

#include "callers/internal/statementcheck.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace rosemaryhinge::detail {

namespace {

/// Statements that end or nest the transaction, that leave state on a pooled connection, or that switch the
/// connection to another protocol mode.
constexpr std::array<std::string_view, 21> Forbidden = {
    "ABORT",   "BEGIN",   "CHECKPOINT", "CLOSE",    "COMMIT",    "COPY",  "DEALLOCATE",
    "DECLARE", "DISCARD", "END",        "EXECUTE",  "LISTEN",    "LOAD",  "NOTIFY",
    "PREPARE", "RELEASE", "RESET",      "ROLLBACK", "SAVEPOINT", "START", "UNLISTEN"};
constexpr std::string_view OwnFunctions = "ROSEMARYHINGE_";

bool isWord(char it) {
  // Bytes of multi-byte characters are letters to PostgreSQL.
  return std::isalnum(static_cast<unsigned char>(it)) || it == '_' || static_cast<unsigned char>(it) >= 0x80;
}

std::string upper(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char it) { return static_cast<char>(std::toupper(it)); });
  return out;
}

/// Servers may differ in these rules. A statement has to pass with them and without.
struct Dialect {
  bool BackslashStrings; ///< E'...' holds backslash escapes.
  bool NestedComments;
};

class Scanner {
public:
  Scanner(std::string_view sql, Dialect dialect) : Sql(sql), Rules(dialect) {}

  std::optional<std::string> run() {
    while (!Problem && At < Sql.size())
      step();
    if (!Problem && First.empty())
      fail(0, "the statement is empty");
    return Problem;
  }

private:
  void fail(std::size_t at, std::string_view what) {
    if (!Problem)
      Problem = "byte " + std::to_string(at + 1) + ": " + std::string(what);
  }

  [[nodiscard]] bool follows(std::string_view text) const { return Sql.substr(At).starts_with(text); }

  void step() {
    const char it = Sql[At];
    if (std::isspace(static_cast<unsigned char>(it))) {
      ++At;
      return;
    }
    if (follows("--")) {
      At = std::min(Sql.find('\n', At), Sql.size());
      return;
    }
    if (follows("/*"))
      comment();
    else if (it == ';')
      Ended = true, ++At;
    else if (Ended)
      fail(At, "more than one statement");
    else
      token(it);
  }

  void token(char it) {
    if (it == '\0') {
      fail(At, "a NUL byte is not allowed");
    } else if (it == '\'') {
      quoted('\'', false);
    } else if (it == '"') {
      name();
    } else if (isWord(it)) {
      word();
    } else if (it != '$' || !dollar()) {
      ++At;
      start("?");
    }
  }

  void start(std::string_view token) {
    if (First.empty())
      First = token;
    else if (Second.empty())
      Second = token;
    else
      return;
    if (std::find(Forbidden.begin(), Forbidden.end(), First) != Forbidden.end())
      fail(0, "a statement may not start with " + First);
    // Other forms of SET outlive the transaction on the pooled connection.
    if (First == "SET" && !Second.empty() && Second != "LOCAL")
      fail(0, "only SET LOCAL is allowed");
  }

  void comment() {
    const auto from = At;
    int depth = 0;
    do {
      if (follows("/*") && (Rules.NestedComments || depth == 0))
        ++depth, At += 2;
      else if (follows("*/"))
        --depth, At += 2;
      else
        ++At;
    } while (depth > 0 && At < Sql.size());
    if (depth > 0)
      fail(from, "a comment is not closed");
  }

  void quoted(char quote, bool backslash) {
    const auto from = At++;
    start("?");
    while (At < Sql.size()) {
      const char it = Sql[At++];
      if (it == '\0')
        fail(At - 1, "a NUL byte is not allowed");
      const bool escapes = it == '\\' && backslash;
      const bool doubled = it == quote && At < Sql.size() && Sql[At] == quote;
      if (escapes || doubled)
        ++At;
      else if (it == quote)
        return;
    }
    fail(from, "a quote is not closed");
  }

  void name() {
    const auto from = At;
    quoted('"', false);
    own(from, upper(Sql.substr(from, At - from)));
  }

  /// Skips a dollar-quoted string; false if the dollar starts none.
  bool dollar() {
    auto end = At + 1;
    if (end < Sql.size() && std::isdigit(static_cast<unsigned char>(Sql[end])))
      return false;
    while (end < Sql.size() && isWord(Sql[end]))
      ++end;
    if (end >= Sql.size() || Sql[end] != '$')
      return false;
    const auto tag = Sql.substr(At, end + 1 - At);
    const auto close = Sql.find(tag, end + 1);
    start("?");
    if (close == std::string_view::npos)
      fail(At, "a dollar quote is not closed");
    else if (Sql.substr(At, close - At).find('\0') != std::string_view::npos)
      fail(At, "a NUL byte is not allowed");
    own(At, upper(Sql.substr(At, close - At)));
    At = close == std::string_view::npos ? Sql.size() : close + tag.size();
    return true;
  }

  void word() {
    const auto from = At;
    while (At < Sql.size() && (isWord(Sql[At]) || Sql[At] == '$'))
      ++At;
    const auto token = upper(Sql.substr(from, At - from));
    own(from, token);
    if (token == "E" && At < Sql.size() && Sql[At] == '\'') {
      quoted('\'', Rules.BackslashStrings);
      return;
    }
    // U&"..." may spell a name with escapes.
    if (token == "U" && follows("&\""))
      fail(from, "names with Unicode escapes are not allowed");
    start(token);
  }

  void own(std::size_t at, std::string_view token) {
    if (token.find(OwnFunctions) != std::string_view::npos)
      fail(at, "names that contain rosemaryhinge_ are reserved");
  }

  std::string_view Sql;
  Dialect Rules;
  std::size_t At = 0;
  bool Ended = false;
  std::string First;
  std::string Second;
  std::optional<std::string> Problem;
};

} // namespace

std::optional<std::string> statementProblem(std::string_view sql) {
  if (auto problem = Scanner(sql, {true, true}).run())
    return problem;
  return Scanner(sql, {false, false}).run();
}

} // namespace rosemaryhinge::detail

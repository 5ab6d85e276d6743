// Recognition of simple statements.

#include "standin/statement.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace rosemaryhinge::standin {

namespace {

bool isSpace(char c) { return std::isspace(static_cast<unsigned char>(c)) != 0; }
bool isWordChar(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_'; }

std::string upper(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::toupper(c); });
  return out;
}

/// Offset after the quoted text or comment that starts at pos, or pos itself if none starts there.
std::size_t skipQuoted(std::string_view sql, std::size_t pos) {
  auto after = [&](std::string_view end, std::size_t from) {
    auto found = sql.find(end, from);
    return found == std::string_view::npos ? sql.size() : found + end.size();
  };
  if (sql[pos] == '\'' || sql[pos] == '"')
    return after(sql.substr(pos, 1), pos + 1);
  if (sql.substr(pos).starts_with("--"))
    return after("\n", pos);
  if (sql.substr(pos).starts_with("/*"))
    return after("*/", pos + 2);
  return pos;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && isSpace(text.front()))
    text.remove_prefix(1);
  while (!text.empty() && isSpace(text.back()))
    text.remove_suffix(1);
  return text;
}

/// Reads a simple statement word by word.
class Reader {
public:
  explicit Reader(std::string_view text) : Text(text) {}

  std::string_view word() {
    skipSpace();
    std::size_t n = 0;
    while (n < Text.size() && isWordChar(Text[n]))
      ++n;
    return take(n);
  }
  bool accept(char c) {
    skipSpace();
    if (Text.empty() || Text.front() != c)
      return false;
    Text.remove_prefix(1);
    return true;
  }
  bool end() {
    skipSpace();
    return Text.empty();
  }
  /// A number or a quoted text.
  std::optional<std::string> argument() {
    skipSpace();
    if (!Text.empty() && Text.front() == '\'')
      return quoted();
    std::size_t n = 0;
    while (n < Text.size() && (isWordChar(Text[n]) || Text[n] == '.' || Text[n] == '-'))
      ++n;
    return n == 0 ? std::nullopt : std::optional(std::string(take(n)));
  }

private:
  std::optional<std::string> quoted() {
    std::string out;
    for (std::size_t i = 1; i < Text.size(); ++i) {
      if (Text[i] != '\'') {
        out.push_back(Text[i]);
      } else if (i + 1 < Text.size() && Text[i + 1] == '\'') {
        out.push_back(Text[i++]);
      } else {
        Text.remove_prefix(i + 1);
        return out;
      }
    }
    return std::nullopt;
  }
  /// Comments count as space.
  void skipSpace() {
    while (!Text.empty()) {
      auto comment = Text.starts_with("--") || Text.starts_with("/*");
      if (!comment && !isSpace(Text.front()))
        return;
      Text.remove_prefix(comment ? skipQuoted(Text, 0) : 1);
    }
  }
  std::string_view take(std::size_t n) {
    auto out = Text.substr(0, n);
    Text.remove_prefix(n);
    return out;
  }

  std::string_view Text;
};

bool readArguments(Reader &in, std::vector<std::string> &out) {
  if (!in.accept('('))
    return false;
  if (in.accept(')'))
    return in.end();
  do {
    auto arg = in.argument();
    if (!arg)
      return false;
    out.push_back(*arg);
  } while (in.accept(','));
  return in.accept(')') && in.end();
}

void classifySelect(Reader in, Statement &out) {
  constexpr std::string_view Prefix = "rosemaryhinge_";
  if (auto sleep = in; upper(sleep.word()) == "PG_SLEEP" && readArguments(sleep, out.Args)) {
    out.Type = Statement::Kind::Sleep;
    return;
  }
  out.Args.clear();
  if (!in.accept('*') || upper(in.word()) != "FROM")
    return;
  auto name = in.word();
  if (name.starts_with(Prefix) && readArguments(in, out.Args)) {
    out.Type = Statement::Kind::Function;
    out.Function = name.substr(Prefix.size());
  }
}

void classifyBegin(Reader in, Statement &out) {
  out.Type = Statement::Kind::Begin;
  std::string previous;
  while (!in.end()) {
    auto word = upper(in.word());
    if (word.empty()) {
      out.Type = Statement::Kind::Unsupported;
      return;
    }
    if (previous == "READ" && word == "ONLY")
      out.Type = Statement::Kind::BeginReadOnly;
    previous = word;
  }
}

Statement classify(std::string_view text) {
  Statement out;
  out.Text = text;
  Reader in(text);
  auto word = upper(in.word());
  if (word == "SELECT")
    classifySelect(in, out);
  else if (word == "BEGIN" || word == "START")
    classifyBegin(in, out);
  else if (word == "COMMIT" || word == "END")
    out.Type = Statement::Kind::Commit;
  else if (word == "ROLLBACK" || word == "ABORT")
    out.Type = Statement::Kind::Rollback;
  else if (word == "SAVEPOINT" || word == "RELEASE" || word == "PRAGMA" || word == "ATTACH" ||
           word == "DETACH" || word == "VACUUM")
    out.Type = Statement::Kind::Unsupported;
  return out;
}

} // namespace

std::vector<Statement> parseStatements(std::string_view sql) {
  std::vector<Statement> out;
  std::size_t start = 0;
  auto add = [&](std::size_t end) {
    if (auto text = trim(sql.substr(start, end - start)); !text.empty())
      out.push_back(classify(text));
    start = end + 1;
  };
  for (std::size_t pos = 0; pos < sql.size();) {
    if (auto next = skipQuoted(sql, pos); next != pos) {
      pos = next;
      continue;
    }
    if (sql[pos] == ';')
      add(pos);
    ++pos;
  }
  add(sql.size());
  return out;
}

std::string firstWord(std::string_view sql) { return upper(Reader(sql).word()); }

std::string quoteLiteral(std::string_view text) {
  std::string out = "'";
  for (auto c : text) {
    if (c == '\'')
      out.push_back('\'');
    out.push_back(c);
  }
  return out + "'";
}

} // namespace rosemaryhinge::standin

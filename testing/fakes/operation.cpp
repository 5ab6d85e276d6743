// Reading of the fake servers' statements.

#include "fakes/operation.h"

#include <charconv>

namespace rosemaryhinge::fakes {

namespace {

std::string_view nextWord(std::string_view &text) {
  auto end = text.find(' ');
  auto out = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  return out;
}

std::uint32_t number(std::string_view text) {
  std::uint32_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

void readTag(std::string_view word, Statement &out) {
  if (word.empty() || word.front() != '#')
    return;
  word.remove_prefix(1);
  auto slash = word.find('/');
  out.Tag = word.substr(0, slash);
  if (slash != std::string_view::npos)
    out.Try = number(word.substr(slash + 1));
}

} // namespace

Statement parseStatement(std::string_view text) {
  Statement out;
  auto verb = nextWord(text);
  if (verb == "put") {
    out.What = Statement::Kind::Put;
    out.Key = nextWord(text);
    out.Value = nextWord(text);
  } else if (verb == "get") {
    out.What = Statement::Kind::Get;
    out.Key = nextWord(text);
  } else if (verb == "sleep") {
    out.What = Statement::Kind::Sleep;
    out.Sleep = std::chrono::milliseconds(number(nextWord(text)));
  } else if (verb == "fail") {
    out.What = Statement::Kind::Fail;
  }
  readTag(nextWord(text), out);
  return out;
}

std::string resultColumn(std::string_view tag, std::string_view what) {
  std::string out(tag);
  out += '#';
  out += what;
  return out;
}

std::string resultTag(const StatementResult &result) {
  if (result.Columns.empty())
    return {};
  const auto &column = result.Columns.front();
  auto end = column.find('#');
  return end == std::string::npos ? std::string{} : column.substr(0, end);
}

} // namespace rosemaryhinge::fakes

// Scans a JSON text for the extents of its parts, in one pass and without recursion.

#include "json/jsonpieces.h"

#include <algorithm>

namespace rosemaryhinge {

namespace {

constexpr std::string_view Blanks = " \t\r\n";
/// End of a number or of a word such as true.
constexpr std::string_view ScalarEnds = ",]} \t\r\n";

/// Reads a JSON text from the front. Nothing is checked but what separates its parts.
class Scanner {
public:
  explicit Scanner(std::string_view text) : Text(text) {}

  [[nodiscard]] bool atEnd() const { return At >= Text.size(); }
  [[nodiscard]] char next() const { return atEnd() ? '\0' : Text[At]; }

  void skipBlanks() { At = std::min(Text.find_first_not_of(Blanks, At), Text.size()); }

  /// Skips a character, if it comes next.
  bool skip(char it) {
    if (atEnd() || Text[At] != it)
      return false;
    ++At;
    return true;
  }

  /// The string that comes next, with its quotes.
  std::optional<std::string_view> takeString() {
    const auto from = At;
    if (!skip('"'))
      return std::nullopt;
    for (; !atEnd(); ++At) {
      if (Text[At] == '\\')
        ++At;
      else if (skip('"'))
        return Text.substr(from, At - from);
    }
    return std::nullopt;
  }

  /// The value that comes next.
  std::optional<std::string_view> takeValue() {
    const auto from = At;
    bool complete = true;
    if (next() == '"')
      complete = takeString().has_value();
    else if (next() == '[' || next() == '{')
      complete = skipNested();
    else
      At = std::min(Text.find_first_of(ScalarEnds, At), Text.size());
    if (!complete || At == from)
      return std::nullopt;
    return Text.substr(from, At - from);
  }

  /// Skips to the end of the array or object that comes next, without recursion.
  bool skipNested() {
    std::size_t depth = 0;
    while (!atEnd()) {
      const char it = next();
      if (it == '"') {
        if (!takeString())
          return false;
        continue;
      }
      ++At;
      if (it == '[' || it == '{')
        MaxDepth = std::max(MaxDepth, ++depth);
      else if ((it == ']' || it == '}') && --depth == 0)
        return true;
    }
    return false;
  }

  /// Deepest nesting of what was skipped.
  [[nodiscard]] std::size_t maxDepth() const { return MaxDepth; }

private:
  std::string_view Text;
  std::size_t At = 0; ///< At most the size of the text, but for an escape at its end.
  std::size_t MaxDepth = 0;
};

/// Calls a function with the scanner at each part of an array or object, until it returns false. Returns
/// whether the text ends as it should.
template <typename F> bool forEachPart(std::string_view text, char open, char close, F take) {
  Scanner in(text);
  in.skipBlanks();
  if (!in.skip(open))
    return false;
  in.skipBlanks();
  if (in.skip(close))
    return true;
  do {
    in.skipBlanks();
    if (!take(in))
      return false;
    in.skipBlanks();
  } while (in.skip(','));
  return in.skip(close);
}

} // namespace

std::optional<std::string_view> jsonMember(std::string_view object, std::string_view key) {
  std::optional<std::string_view> out;
  const bool whole = forEachPart(object, '{', '}', [&](Scanner &in) {
    const auto name = in.takeString();
    in.skipBlanks();
    if (!name || !in.skip(':'))
      return false;
    in.skipBlanks();
    const auto value = in.takeValue();
    if (value && name->substr(1, name->size() - 2) == key)
      out = value;
    return value.has_value();
  });
  return whole ? out : std::nullopt;
}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view array) {
  std::vector<std::string_view> out;
  const bool whole = forEachPart(array, '[', ']', [&](Scanner &in) {
    const auto value = in.takeValue();
    if (value)
      out.push_back(*value);
    return value.has_value();
  });
  return whole ? std::optional(std::move(out)) : std::nullopt;
}

bool isNestedDeeper(std::string_view json, std::size_t bound) {
  Scanner in(json);
  in.skipBlanks();
  if (in.next() == '[' || in.next() == '{')
    in.skipNested();
  return in.maxDepth() > bound;
}

} // namespace rosemaryhinge

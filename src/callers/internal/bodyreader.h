// Reads the JSON body of a caller's request.

#pragma once

#include "base/time.h"
#include "callers/internal/callerpath.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::detail {

/// Reads the fields of a body and keeps the first fault.
class BodyReader {
public:
  explicit BodyReader(std::string_view body);
  std::string text(const char *name, std::size_t limit);
  bool flag(const char *name);
  /// Reads a whole number of milliseconds within bounds.
  std::optional<Duration> millis(const char *name, Duration least, Duration most);
  /// Reads the statements that the operation takes.
  std::vector<std::string> statements(Operation op);
  /// Records a fault unless there is one already.
  void fail(std::string what);

  /// The first fault. A field that nothing asked for is one: a misspelt option must not be ignored.
  std::optional<std::string> finish();

private:
  const nlohmann::json *find(const char *name);
  void add(std::vector<std::string> &out, const nlohmann::json &value, const std::string &place);

  nlohmann::json Doc;
  std::vector<std::string> Known;
  std::optional<std::string> Problem;
};

} // namespace rosemaryhinge::detail

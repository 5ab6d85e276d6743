// Splitting of a query string into statements, and recognition of those that the stand-in carries out itself.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryhinge::standin {

struct Statement {
  enum class Kind : std::uint8_t {
    Sql,
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Function,    ///< SELECT * FROM rosemaryhinge_<name>(<args>).
    Sleep,       ///< SELECT pg_sleep(<seconds>).
    Unsupported, ///< Would break the model, such as SAVEPOINT or PRAGMA.
  };

  Kind Type = Kind::Sql;
  std::string Text;
  std::string Function;          ///< Name without the prefix.
  std::vector<std::string> Args; ///< Unquoted.
};

/// Splits at semicolons outside quotes and comments; empty statements are left out.
[[nodiscard]] std::vector<Statement> parseStatements(std::string_view sql);
/// First word in upper case.
[[nodiscard]] std::string firstWord(std::string_view sql);
/// A text as an SQL literal.
[[nodiscard]] std::string quoteLiteral(std::string_view text);

} // namespace rosemaryhinge::standin

// The SQL that this proxy speaks with database servers. All of it is in this file.

#pragma once

#include "protocol/target.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemaryhinge::detail {

/// SQLSTATE: refused, a higher term or generation is known.
inline constexpr std::string_view StateRefused = "RH001";
/// SQLSTATE: the marker table already has the key.
inline constexpr std::string_view StateMarkerConflict = "RH002";
/// SQLSTATE: the server is not a primary. The detail holds the raised term.
inline constexpr std::string_view StateNotPrimary = "RH003";

inline constexpr std::string_view StatusQuery = "SELECT * FROM rosemaryhinge_status(0, 0, 0)";
inline constexpr std::string_view RollbackQuery = "ROLLBACK";

/// A string literal. With E'' backslashes are escaped whatever the server's settings are; without any
/// backslash the plain form is used.
inline std::string literal(std::string_view text) {
  std::string out = text.find('\\') == std::string_view::npos ? "'" : "E'";
  for (const char it : text) {
    if (it == '\0')
      continue;
    if (it == '\'' || it == '\\')
      out += it;
    out += it;
  }
  return out + "'";
}

using ConnectionOptions = std::vector<std::pair<std::string, std::string>>;

inline ConnectionOptions connectionOptions(std::string_view ip, std::uint16_t port,
                                           const DatabaseId &database, const std::string &application,
                                           const std::string &sslMode) {
  return {{"hostaddr", std::string(ip)}, {"port", std::to_string(port)},    {"dbname", database.str()},
          {"user", "rosemaryhinge"},     {"application_name", application}, {"client_encoding", "UTF8"},
          {"sslmode", sslMode},          {"gssencmode", "disable"}};
}

/// The node comes last: servers cut long names.
inline std::string slotApplication(const OpenConnection &it, const NodeId &node) {
  return "rh/slot=" + std::to_string(it.Slot) + "/gen=" + std::to_string(it.Generation) +
         "/node=" + node.str();
}
inline std::string controlApplication() { return "rh/control"; }

inline std::string waitQuery(Position at, std::chrono::milliseconds timeout) {
  return "SELECT * FROM rosemaryhinge_status(" + std::to_string(at.Term) + ", " + std::to_string(at.Lsn) +
         ", " + std::to_string(std::max<std::int64_t>(timeout.count(), 1)) + ")";
}
inline std::string raiseQuery(Term term) {
  return "SELECT * FROM rosemaryhinge_raise_term(" + std::to_string(term) + ")";
}
inline std::string promoteQuery(Term term) {
  return "SELECT * FROM rosemaryhinge_promote(" + std::to_string(term) + ")";
}
inline std::string claimQuery(const ClaimSlot &it) {
  return "SELECT * FROM rosemaryhinge_claim_slot(" + std::to_string(it.Slot) + ", " +
         std::to_string(it.Generation) + ")";
}
inline std::string abortQuery(const Marker &it) {
  return "SELECT * FROM rosemaryhinge_abort(" + literal(it.Key) + ", " + std::to_string(it.Attempt) + ")";
}
inline std::string markQuery(const Marker &it) {
  return "SELECT * FROM rosemaryhinge_mark(" + literal(it.Key) + ", " + std::to_string(it.Attempt) + ")";
}
inline std::string markerQuery(std::string_view key) {
  return "SELECT * FROM rosemaryhinge_marker(" + literal(key) + ")";
}

/// One simple-protocol query string, with the places of its parts among the results.
struct Script {
  static constexpr std::size_t None = static_cast<std::size_t>(-1);

  std::string Sql;
  std::size_t Results = 0; ///< How many results a run without errors gives.
  std::size_t FirstStatement = 0;
  std::size_t Statements = 0;
  std::size_t Commit = None;
  std::size_t Status = None;

  void add(std::string_view sql) {
    // On a line of its own, so that a comment at the end of a statement does not hide the next one.
    if (!Sql.empty())
      Sql += "\n;\n";
    Sql += sql;
    ++Results;
  }
};

/// A statement without the semicolon it may end with: an empty statement gives no result in some servers.
inline std::string_view trimmed(std::string_view sql) {
  const auto end = sql.find_last_not_of("; \t\r\n");
  return sql.substr(0, end == std::string_view::npos ? 0 : end + 1);
}

/// Whole transactions are BEGIN, marker, statements, COMMIT and status in one string. A read takes the status
/// first: it is the position of the snapshot.
inline Script script(const Execute &it) {
  Script out;
  const bool whole = it.Step == TransactionStep::None;
  if (whole || it.Step == TransactionStep::Begin) {
    out.add(it.ReadOnly ? "BEGIN READ ONLY" : "BEGIN");
    if (it.ReadOnly) {
      out.Status = out.Results;
      out.add(StatusQuery);
    }
  }
  if (it.Marker && (whole || it.Step == TransactionStep::Commit))
    out.add(markQuery(*it.Marker));
  out.FirstStatement = out.Results;
  out.Statements = it.Statements.size();
  for (const auto &sql : it.Statements)
    out.add(trimmed(sql));
  if (whole || it.Step == TransactionStep::Commit) {
    out.Commit = out.Results;
    out.add("COMMIT");
    if (out.Status == Script::None) {
      out.Status = out.Results;
      out.add(StatusQuery);
    }
  }
  if (it.Step == TransactionStep::Rollback)
    out.add(RollbackQuery);
  return out;
}

} // namespace rosemaryhinge::detail

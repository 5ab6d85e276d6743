// A PostgreSQL server of a few lines: answers each query string as the test's script says.

#pragma once

#include "net/tests/scriptedserver.h"
#include "protocol/request.h"

#include <functional>
#include <string>
#include <vector>

namespace rosemaryhinge::testing {

/// Builds the messages of an answer.
class PgReply {
public:
  std::string Bytes;

  PgReply &message(char type, const std::string &body) {
    Bytes += type;
    Bytes += number(static_cast<std::uint32_t>(body.size() + 4), 4) + body;
    return *this;
  }
  PgReply &tag(const std::string &text) { return message('C', text + '\0'); }
  PgReply &ready(char state = 'I') { return message('Z', std::string(1, state)); }
  PgReply &error(const std::string &state, const std::string &text, const std::string &detail = "") {
    auto body = "SERROR" + std::string(1, '\0') + "C" + state + '\0' + "M" + text + '\0';
    if (!detail.empty())
      body += "D" + detail + '\0';
    return message('E', body + '\0');
  }
  PgReply &rows(const std::vector<std::string> &columns,
                const std::vector<std::vector<std::optional<std::string>>> &rows) {
    std::string head = number(static_cast<std::uint32_t>(columns.size()), 2);
    for (const auto &it : columns)
      head +=
          it + '\0' + std::string(6, '\0') + number(25, 4) + std::string(2, '\xff') + std::string(6, '\0');
    message('T', head);
    for (const auto &row : rows) {
      std::string body = number(static_cast<std::uint32_t>(row.size()), 2);
      for (const auto &it : row)
        body += it ? number(static_cast<std::uint32_t>(it->size()), 4) + *it : std::string(4, '\xff');
      message('D', body);
    }
    return tag("SELECT " + std::to_string(rows.size()));
  }
  PgReply &status(const std::string &role, std::uint64_t term, std::uint64_t lsn) {
    return rows(
        {"role", "raised_term", "log_term", "log_lsn", "since_primary_ms", "leaving", "history"},
        {{role, std::to_string(term), std::to_string(term), std::to_string(lsn), "12", "f", "1:0,2:50"}});
  }

private:
  static std::string number(std::uint32_t value, int bytes) {
    std::string out;
    for (int n = bytes - 1; n >= 0; --n)
      out += static_cast<char>((value >> (8 * n)) & 255);
    return out;
  }
};

class FakePgServer {
public:
  using Connection = ScriptedServer::Connection;
  /// Answers one query string, or not at all.
  using Script = std::function<void(Connection &, const std::string &sql)>;

  FakePgServer(asio::io_context &io, Script script)
      : OnQuery(std::move(script)), Server(io, [this](Connection &it) { take(it); }) {}

  std::vector<std::string> Queries;
  std::vector<std::string> Startups; ///< Startup messages, with their zero bytes.
  Script OnQuery;
  ScriptedServer Server;

private:
  static std::size_t sizeAt(const std::string &in, std::size_t at) {
    std::size_t out = 0;
    for (std::size_t n = 0; n < 4; ++n)
      out = out << 8 | static_cast<unsigned char>(in[at + n]);
    return out;
  }
  void take(Connection &it) {
    if (it.Stage == 0) {
      if (it.In.size() < 4 || it.In.size() < sizeAt(it.In, 0))
        return;
      Startups.push_back(it.In.substr(0, sizeAt(it.In, 0)));
      it.In.erase(0, Startups.back().size());
      it.Stage = 1;
      it.send(PgReply().message('R', std::string(4, '\0')).message('K', std::string(8, '\1')).ready().Bytes);
    }
    while (it.In.size() >= 5 && it.In.size() > sizeAt(it.In, 1)) {
      const auto size = sizeAt(it.In, 1);
      const auto type = it.In[0];
      const auto sql = size > 5 ? it.In.substr(5, size - 5) : std::string();
      it.In.erase(0, size + 1);
      if (type != 'Q')
        continue;
      Queries.push_back(sql);
      OnQuery(it, sql);
    }
  }
};

} // namespace rosemaryhinge::testing

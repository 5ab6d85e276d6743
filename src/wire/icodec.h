// Turns the bytes of a session protocol into the project's messages and back. Sockets are not its business.

#pragma once

#include "protocol/link.h"
#include "protocol/session.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemaryhinge {

/// First message of a caller: the database that it asks for, and its key.
struct SessionStart {
  std::string Database;
  KeyDigest Key;
};
struct SessionLeave {};
/// Bytes that cannot be read. The connection is closed after the answer.
struct ProtocolError {
  Rejection Code = Rejection::Malformed;
  std::string Message;
};
using CallerMessage = std::variant<SessionStart, SessionStatement, SessionLeave, ProtocolError>;

/// One for each caller connection.
class ICallerCodec {
public:
  virtual ~ICallerCodec() = default;

  /// Takes bytes as they arrive and appends the messages that are complete.
  virtual void decode(std::string_view bytes, std::vector<CallerMessage> &out) = 0;
  /// Bytes of the message that is not complete yet.
  [[nodiscard]] virtual std::size_t incomplete() const = 0;
  [[nodiscard]] virtual std::string greeting() = 0;
  [[nodiscard]] virtual std::string refusal(const StatementRejection &why) = 0;
  [[nodiscard]] virtual std::string answer(const AnswerStatement &answer) = 0;
};

/// The server has accepted the connection.
struct ServerReady {};
/// The server refuses the connection.
struct ServerRefusal {
  LinkFailure Why = LinkFailure::Lost;
};
/// LinkReplied without the link, which the codec does not know.
using ServerMessage = std::variant<ServerReady, ServerRefusal, LinkReplied, ProtocolError>;

/// One for each connection to a server.
class IServerCodec {
public:
  virtual ~IServerCodec() = default;

  [[nodiscard]] virtual std::string start(const OpenLink &link) = 0;
  /// Also notes that an answer of this kind is due.
  [[nodiscard]] virtual std::string command(const LinkCommand &command) = 0;
  [[nodiscard]] virtual std::string leave() = 0;
  virtual void decode(std::string_view bytes, std::vector<ServerMessage> &out) = 0;
};

class ICodecs {
public:
  virtual ~ICodecs() = default;

  [[nodiscard]] virtual std::unique_ptr<ICallerCodec> caller() const = 0;
  [[nodiscard]] virtual std::unique_ptr<IServerCodec> server() const = 0;
};

} // namespace rosemaryhinge

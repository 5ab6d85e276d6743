// Messages of the PostgreSQL v3 protocol: reading with bounds checks, and writing.

#pragma once

#include "standin/sqlerror.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryhinge::standin {

/// Limit for one message of the other side.
inline constexpr std::size_t MaxWireBytes = 4'194'304;

inline constexpr std::uint32_t ProtocolVersion3 = 196'608;
inline constexpr std::uint32_t CancelRequestCode = 80'877'102;
inline constexpr std::uint32_t SslRequestCode = 80'877'103;
inline constexpr std::uint32_t GssRequestCode = 80'877'104;

enum class WireState : std::uint8_t { Ready, Incomplete, Malformed };

/// A whole message at the start of a buffer.
struct WireMessage {
  WireState State = WireState::Incomplete;
  char Type = 0;         ///< 0 in the start-up phase, where messages carry no type.
  std::string_view Body; ///< Points into the buffer.
  std::size_t Bytes = 0; ///< Length of the whole message.
};

/// Reads a message without a type: start-up, SSL and cancel requests.
[[nodiscard]] WireMessage readStartup(std::string_view buf);
[[nodiscard]] WireMessage readMessage(std::string_view buf);
/// Big-endian 32 bit number at an offset; none if the text is too short.
[[nodiscard]] std::optional<std::uint32_t> readUint32(std::string_view text, std::size_t offset);
/// Parameters of a start-up message, after the protocol version. None if they are malformed.
[[nodiscard]] std::optional<std::map<std::string, std::string>> readParameters(std::string_view text);

/// Appends messages to an output buffer.
class WireWriter {
public:
  explicit WireWriter(std::string &out) : Out(out) {}

  /// AuthenticationOk, ParameterStatus and BackendKeyData.
  void startupDone(std::uint32_t processId);
  /// RowDescription (if there are columns), DataRow and CommandComplete.
  void result(const StatementResult &result, const std::string &tag);
  void error(const SqlError &error);
  void emptyQuery();
  /// Status is 'I', 'T' or 'E'.
  void ready(char status);

private:
  void message(char type, const std::string &body);
  void parameter(const std::string &name, const std::string &value);

  std::string &Out;
};

} // namespace rosemaryhinge::standin

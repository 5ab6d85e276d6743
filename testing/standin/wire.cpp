// Messages of the PostgreSQL v3 protocol.

#include "standin/wire.h"

namespace rosemaryhinge::standin {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::uint32_t TextOid = 25;

void putUint16(std::string &out, std::uint16_t value) {
  out.push_back(static_cast<char>(value >> 8));
  out.push_back(static_cast<char>(value & 0xff));
}

void putUint32(std::string &out, std::uint32_t value) {
  putUint16(out, static_cast<std::uint16_t>(value >> 16));
  putUint16(out, static_cast<std::uint16_t>(value & 0xffff));
}

void putString(std::string &out, std::string_view text) {
  out.append(text.substr(0, text.find('\0')));
  out.push_back('\0');
}

WireMessage readFramed(std::string_view buf, std::size_t typeBytes) {
  WireMessage out;
  auto length = readUint32(buf, typeBytes);
  if (!length)
    return out;
  if (*length < LengthBytes || *length > MaxWireBytes) {
    out.State = WireState::Malformed;
    return out;
  }
  auto total = typeBytes + *length;
  if (buf.size() < total)
    return out;
  out.State = WireState::Ready;
  out.Type = typeBytes == 0 ? '\0' : buf[0];
  out.Body = buf.substr(typeBytes + LengthBytes, *length - LengthBytes);
  out.Bytes = total;
  return out;
}

std::string rowDescription(const StatementResult &result) {
  std::string body;
  putUint16(body, static_cast<std::uint16_t>(result.Columns.size()));
  for (const auto &name : result.Columns) {
    putString(body, name);
    putUint32(body, 0); // No table.
    putUint16(body, 0);
    putUint32(body, TextOid);
    putUint16(body, 0xffff);     // Variable width.
    putUint32(body, 0xffffffff); // No type modifier.
    putUint16(body, 0);          // Text format.
  }
  return body;
}

std::string dataRow(const std::vector<std::optional<std::string>> &row) {
  std::string body;
  putUint16(body, static_cast<std::uint16_t>(row.size()));
  for (const auto &value : row) {
    putUint32(body, value ? static_cast<std::uint32_t>(value->size()) : 0xffffffff);
    if (value)
      body += *value;
  }
  return body;
}

} // namespace

std::optional<std::uint32_t> readUint32(std::string_view text, std::size_t offset) {
  if (text.size() < LengthBytes || offset > text.size() - LengthBytes)
    return std::nullopt;
  std::uint32_t out = 0;
  for (auto c : text.substr(offset, LengthBytes))
    out = out << 8 | static_cast<unsigned char>(c);
  return out;
}

WireMessage readStartup(std::string_view buf) { return readFramed(buf, 0); }

WireMessage readMessage(std::string_view buf) { return readFramed(buf, 1); }

std::optional<std::map<std::string, std::string>> readParameters(std::string_view text) {
  std::map<std::string, std::string> out;
  while (!text.empty() && text.front() != '\0') {
    auto nameEnd = text.find('\0');
    if (nameEnd == std::string_view::npos)
      return std::nullopt;
    auto valueEnd = text.find('\0', nameEnd + 1);
    if (valueEnd == std::string_view::npos)
      return std::nullopt;
    out[std::string(text.substr(0, nameEnd))] = text.substr(nameEnd + 1, valueEnd - nameEnd - 1);
    text.remove_prefix(valueEnd + 1);
  }
  return text.empty() ? std::nullopt : std::optional(out);
}

void WireWriter::message(char type, const std::string &body) {
  Out.push_back(type);
  putUint32(Out, static_cast<std::uint32_t>(body.size() + LengthBytes));
  Out += body;
}

void WireWriter::parameter(const std::string &name, const std::string &value) {
  std::string body;
  putString(body, name);
  putString(body, value);
  message('S', body);
}

void WireWriter::startupDone(std::uint32_t processId) {
  std::string body;
  putUint32(body, 0);
  message('R', body);
  parameter("server_version", "15.0");
  parameter("server_encoding", "UTF8");
  parameter("client_encoding", "UTF8");
  parameter("DateStyle", "ISO, MDY");
  parameter("integer_datetimes", "on");
  parameter("standard_conforming_strings", "on");
  body.clear();
  putUint32(body, processId);
  putUint32(body, 0); // Cancel requests are ignored, so the secret is of no use.
  message('K', body);
}

void WireWriter::result(const StatementResult &result, const std::string &tag) {
  if (!result.Columns.empty()) {
    message('T', rowDescription(result));
    for (const auto &row : result.Rows)
      message('D', dataRow(row));
  }
  std::string body;
  putString(body, tag);
  message('C', body);
}

void WireWriter::error(const SqlError &error) {
  std::string body;
  body += "SERROR";
  body.push_back('\0');
  body += "VERROR";
  body.push_back('\0');
  body.push_back('C');
  putString(body, error.State);
  body.push_back('M');
  putString(body, error.Message);
  if (!error.Detail.empty()) {
    body.push_back('D');
    putString(body, error.Detail);
  }
  body.push_back('\0');
  message('E', body);
}

void WireWriter::emptyQuery() { message('I', ""); }

void WireWriter::ready(char status) { message('Z', std::string(1, status)); }

} // namespace rosemaryhinge::standin

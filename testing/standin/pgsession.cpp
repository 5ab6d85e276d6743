// One connection of the PostgreSQL protocol.

#include "standin/pgsession.h"

#include "standin/wire.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

/// An open transaction holds the writer lock, so a silent caller loses it after this time.
constexpr std::chrono::seconds IdleTransactionLimit{10};

std::uint32_t nextProcessId() {
  static std::uint32_t last = 1000;
  return ++last;
}

} // namespace

PgSession::PgSession(asio::io_context &io, asio::ip::tcp::socket socket, DatabaseServer &server,
                     QueryRunner::ClaimSlot claim)
    : Socket(std::move(socket)), Server(server),
      Runner(std::make_shared<QueryRunner>(io, server, std::move(claim))), Timer(io) {
  std::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
}

void PgSession::start() { read(); }

void PgSession::close() {
  if (std::exchange(Closed, true))
    return;
  std::error_code ec;
  Socket.close(ec);
  Timer.cancel();
  Runner->abandon();
  if (Slot)
    Server.Slots.close(*Slot);
}

void PgSession::resume() {
  if (Closed)
    return;
  flush();
  process();
  read();
}

void PgSession::read() {
  if (Closed || Reading || In.size() > MaxWireBytes)
    return;
  Reading = true;
  Socket.async_read_some(asio::buffer(Buf),
                         [self = shared_from_this()](std::error_code ec, std::size_t bytes) {
                           self->Reading = false;
                           self->onRead(ec, bytes);
                         });
}

void PgSession::onRead(std::error_code ec, std::size_t bytes) {
  if (Closed)
    return;
  In.append(Buf.data(), bytes);
  // A cut server learns nothing, not even that the other side is gone: it reads on once the cut is over.
  if (Server.CutFromProxies)
    return;
  if (ec)
    return close();
  process();
  read();
}

void PgSession::process() {
  while (!Closed && !Busy && !CloseAfterFlush && !Server.CutFromProxies) {
    auto more = Stage == Phase::Startup ? processStartup() : Stage == Phase::Ready && processMessage();
    if (!more)
      break;
  }
}

bool PgSession::processStartup() {
  auto message = readStartup(In);
  if (message.State == WireState::Malformed) {
    close();
    return false;
  }
  auto code = readUint32(message.Body, 0);
  if (message.State == WireState::Incomplete)
    return false;
  auto body = std::string(message.Body);
  In.erase(0, message.Bytes);
  if (code == SslRequestCode || code == GssRequestCode) {
    Runner->Out += 'N';
    flush();
    return true;
  }
  auto parameters =
      code == ProtocolVersion3 ? readParameters(std::string_view(body).substr(4)) : std::nullopt;
  if (!parameters) { // Cancel requests too: they are ignored.
    close();
    return false;
  }
  if (!admit((*parameters)["application_name"]))
    return false;
  Stage = Phase::Delayed;
  Timer.expires_after(Slot ? Server.ConnectDelay : std::chrono::milliseconds(0));
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec)
      self->welcome();
  });
  return false;
}

bool PgSession::admit(const std::string &applicationName) {
  auto name = parseSlotName(applicationName);
  if (!name)
    return true;
  switch (Server.Slots.open(*name)) {
  case SlotTable::Admission::Admitted:
    Slot = std::move(name);
    return true;
  case SlotTable::Admission::Full:
    refuse({"53300", "too many connections for the slot", ""});
    return false;
  case SlotTable::Admission::OldGeneration:
    refuse({"RH001", "a higher generation of the slot was claimed", ""});
    return false;
  }
  return false;
}

void PgSession::welcome() {
  if (Closed)
    return;
  Stage = Phase::Ready;
  WireWriter out(Runner->Out);
  out.startupDone(nextProcessId());
  out.ready('I');
  flush();
  process();
}

void PgSession::refuse(const SqlError &error) {
  WireWriter(Runner->Out).error(error);
  CloseAfterFlush = true;
  flush();
}

bool PgSession::processMessage() {
  auto message = readMessage(In);
  if (message.State == WireState::Incomplete)
    return false;
  if (message.State == WireState::Malformed || message.Type == 'X') {
    close();
    return false;
  }
  auto body = std::string(message.Body);
  In.erase(0, message.Bytes);
  if (message.Type != 'Q') {
    // Sync ends a series of messages of the extended protocol, which is not offered.
    WireWriter out(Runner->Out);
    if (message.Type == 'S')
      out.ready(Runner->inTransaction() ? 'T' : 'I');
    else
      out.error({"0A000", "only the simple query protocol is supported", ""});
    flush();
    return true;
  }
  if (body.empty() || body.back() != '\0') {
    refuse({"08P01", "malformed query message", ""});
    return false;
  }
  body.pop_back();
  Busy = true;
  Timer.cancel();
  Runner->run(body, [self = shared_from_this()] {
    self->Busy = false;
    self->watchIdle();
    self->flush();
    self->process();
  });
  return !Busy;
}

void PgSession::watchIdle() {
  if (!Runner->inTransaction())
    return;
  Timer.expires_after(IdleTransactionLimit);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec && !self->Busy && self->Runner->inTransaction())
      self->close();
  });
}

void PgSession::flush() {
  if (Closed || !Writing.empty() || Server.CutFromProxies)
    return;
  if (Runner->Out.empty()) {
    if (CloseAfterFlush)
      close();
    return;
  }
  Writing = std::exchange(Runner->Out, {});
  asio::async_write(Socket, asio::buffer(Writing),
                    [self = shared_from_this()](std::error_code ec, std::size_t) {
                      self->Writing.clear();
                      if (ec)
                        self->close();
                      else
                        self->flush();
                    });
}

} // namespace rosemaryhinge::standin

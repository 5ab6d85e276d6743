// Port of one database server.

#include "standin/pglistener.h"

#include <utility>

namespace rosemaryhinge::standin {

using asio::ip::tcp;

PgListener::PgListener(asio::io_context &io, std::uint16_t port, DatabaseServer &server)
    : Io(io), Port(port), Server(server) {
  open();
}

void PgListener::open() {
  Acceptor.emplace(Io, tcp::endpoint(asio::ip::address_v4::loopback(), Port));
  Port = Acceptor->local_endpoint().port();
  accept();
}

void PgListener::accept() {
  Acceptor->async_accept([this](std::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !Acceptor)
      return;
    if (!ec) {
      auto session = std::make_shared<PgSession>(
          Io, std::move(socket), Server,
          [this](std::uint32_t slot, std::uint64_t generation) { return claim(slot, generation); });
      Sessions = live();
      Sessions.push_back(session);
      session->start();
    }
    accept();
  });
}

std::vector<std::shared_ptr<PgSession>> PgListener::live() {
  auto out = Sessions;
  std::erase_if(out, [](const auto &it) { return it->closed(); });
  return out;
}

bool PgListener::claim(std::uint32_t slot, std::uint64_t generation) {
  if (!Server.Slots.claim(slot, generation))
    return false;
  for (const auto &it : live()) {
    if (it->slot() && it->slot()->Slot == slot && it->slot()->Generation < generation)
      it->close();
  }
  return true;
}

void PgListener::stop() {
  Acceptor.reset();
  for (const auto &it : live())
    it->close();
  Server.Running = false;
}

void PgListener::start() {
  if (!Acceptor)
    open();
  Server.Running = true;
}

void PgListener::resume() {
  for (const auto &it : live())
    it->resume();
}

std::size_t PgListener::connections() { return live().size(); }

} // namespace rosemaryhinge::standin

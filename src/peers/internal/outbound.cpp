// Sending to one peer.

#include "peers/internal/outbound.h"

#include "net/address.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace rosemaryhinge::detail {

Outbound::Outbound(asio::io_context &io, const PeerOptions &options, IMetrics &metrics,
                   std::function<void()> onLost)
    : Socket(io), Deadline(io), Options(options), Metrics(metrics), OnLost(std::move(onLost)) {}

void Outbound::setAddress(const std::string &address) {
  if (address == Address)
    return;
  if (State != Phase::Closed)
    fail("address_changed");
  Address = address;
  RetryAt = {};
}

void Outbound::send(std::string frame) {
  if (Stopped)
    return;
  if (Address.empty() || std::chrono::steady_clock::now() < RetryAt) {
    Metrics.count("peer_messages_dropped_total{why=\"unreachable\"}");
    lost();
    return;
  }
  QueuedBytes += frame.size();
  Queue.push_back(std::move(frame));
  if (QueuedBytes > Options.MaxQueuedBytes)
    fail("queue_full");
  else if (State == Phase::Closed)
    connect();
  else if (State == Phase::Open && Writing.empty())
    write();
}

void Outbound::lost() {
  // Many messages may be dropped in one turn of the loop; one event stands for all of them.
  if (LostPosted || Stopped)
    return;
  LostPosted = true;
  asio::post(Socket.get_executor(), [self = shared_from_this()] {
    self->LostPosted = false;
    if (!self->Stopped)
      self->OnLost();
  });
}

void Outbound::stop() {
  Stopped = true;
  close();
}

void Outbound::connect() {
  const auto address = parseAddress(Address);
  if (!address) {
    fail("bad_address");
    return;
  }
  State = Phase::Connecting;
  const auto expired = [self = shared_from_this(), round = Round](std::error_code ec) {
    if (!ec && round == self->Round)
      self->fail("connect_timeout");
  };
  Deadline.expires_after(Options.ConnectTimeout);
  Deadline.async_wait(expired);
  Socket.async_connect({asio::ip::make_address(address->Ip), address->Port},
                       [self = shared_from_this(), round = Round](std::error_code ec) {
                         if (round != self->Round)
                           return;
                         if (ec) {
                           self->fail("connect_failed");
                           return;
                         }
                         self->State = Phase::Open;
                         self->Deadline.cancel();
                         self->Socket.set_option(asio::ip::tcp::no_delay(true), ec);
                         self->watch();
                         self->write();
                       });
}

void Outbound::write() {
  if (Queue.empty())
    return;
  Writing.assign(std::make_move_iterator(Queue.begin()), std::make_move_iterator(Queue.end()));
  Queue.clear();
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(Writing.size());
  for (const auto &it : Writing)
    buffers.emplace_back(asio::buffer(it));
  Deadline.expires_after(Options.WriteTimeout);
  Deadline.async_wait([self = shared_from_this(), round = Round](std::error_code ec) {
    if (!ec && round == self->Round && !self->Writing.empty())
      self->fail("write_timeout");
  });
  asio::async_write(Socket, buffers,
                    [self = shared_from_this(), round = Round](std::error_code ec, std::size_t) {
                      if (round != self->Round)
                        return;
                      if (ec) {
                        self->fail("write_failed");
                        return;
                      }
                      self->Deadline.cancel();
                      for (const auto &it : self->Writing)
                        self->QueuedBytes -= it.size();
                      self->Writing.clear();
                      self->write();
                    });
}

void Outbound::watch() {
  // Peers send nothing on this connection: whatever can be read is its end.
  Socket.async_read_some(asio::buffer(Byte),
                         [self = shared_from_this(), round = Round](std::error_code, std::size_t) {
                           if (round == self->Round)
                             self->fail("closed_by_peer");
                         });
}

void Outbound::fail(std::string_view why) {
  std::string name("peer_connections_lost_total{why=\"");
  Metrics.count(name.append(why).append("\"}"));
  if (pending() > 0)
    Metrics.count("peer_messages_dropped_total{why=\"connection_lost\"}", static_cast<double>(pending()));
  close();
  RetryAt = std::chrono::steady_clock::now() + Options.RetryPause;
  lost();
}

void Outbound::close() {
  ++Round;
  State = Phase::Closed;
  std::error_code ignored;
  Socket.close(ignored);
  Deadline.cancel();
  Queue.clear();
  QueuedBytes = 0;
  // The buffers of an unfinished write must live until its handler has run.
  if (!Writing.empty())
    asio::post(Socket.get_executor(), [keep = std::move(Writing)] {});
  Writing.clear();
}

} // namespace rosemaryhinge::detail

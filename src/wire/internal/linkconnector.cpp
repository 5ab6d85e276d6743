// Connections to servers.

#include "base/overloaded.h"
#include "wire/internal/buffers.h"
#include "wire/internal/socketoptions.h"
#include "wire/wire.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <unordered_map>

namespace rosemaryhinge {

namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds Unacknowledged{2'000};
constexpr std::size_t ReadSize = 8'192;

struct Connection {
  Connection(asio::io_context &io, std::unique_ptr<IServerCodec> codec)
      : Socket(io), Codec(std::move(codec)) {}

  tcp::socket Socket;
  std::unique_ptr<IServerCodec> Codec;
  std::array<char, ReadSize> Buf{};
  std::string Unsent; ///< Waits for the write in progress.
  std::string Writing;
  bool Ready = false;
  bool Closed = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class LinkConnector : public ILinkConnector {
public:
  LinkConnector(asio::io_context &io, const ICodecs &codecs, EventSink sink, IMetrics &metrics)
      : Io(io), Codecs(codecs), Sink(std::move(sink)), Metrics(metrics) {}

  void open(const OpenLink &effect) override {
    const auto it = std::make_shared<Connection>(Io, Codecs.server());
    Connections.emplace(effect.Link, it);
    const auto address = parseAddress(effect.Address);
    std::error_code ec;
    const auto ip = asio::ip::make_address(address ? address->Ip : "", ec);
    if (!address || ec) {
      Metrics.count("link_addresses_unreadable_total");
      fail(effect.Link, it, LinkFailure::Refused);
      return;
    }
    it->Socket.async_connect({ip, address->Port}, [this, effect, it](std::error_code failure) {
      if (it->Closed)
        return;
      if (failure) {
        const bool refused =
            failure == asio::error::connection_refused || failure == asio::error::connection_reset;
        fail(effect.Link, it, refused ? LinkFailure::Refused : LinkFailure::Timeout);
        return;
      }
      detail::setSocketOptions(it->Socket, Unacknowledged);
      write(effect.Link, it, it->Codec->start(effect));
      read(effect.Link, it);
    });
  }

  void send(const SendOnLink &effect) override {
    const auto it = Connections.find(effect.Link);
    if (it == Connections.end())
      return;
    std::string bytes;
    for (const auto &command : effect.Commands)
      bytes += it->second->Codec->command(command);
    write(effect.Link, it->second, bytes);
  }

  void close(const CloseLink &effect) override {
    const auto it = Connections.find(effect.Link);
    if (it == Connections.end())
      return;
    const auto connection = it->second;
    Connections.erase(it);
    leave(*connection);
  }

  void stop() override {
    for (const auto &[link, it] : Connections)
      leave(*it);
    Connections.clear();
  }

private:
  static void leave(Connection &it) {
    it.Closed = true;
    std::error_code ec;
    // The leave is a courtesy: a server also notices the end of the connection.
    if (it.Ready && it.Writing.empty()) {
      it.Socket.non_blocking(true, ec);
      it.Socket.write_some(asio::buffer(it.Codec->leave()), ec);
    }
    it.Socket.close(ec);
  }

  void read(LinkId link, const ConnectionPtr &it) {
    it->Socket.async_read_some(asio::buffer(it->Buf), [this, link, it](std::error_code ec, std::size_t size) {
      if (it->Closed)
        return;
      if (ec) {
        fail(link, it, LinkFailure::Lost);
        return;
      }
      std::vector<ServerMessage> messages;
      it->Codec->decode({it->Buf.data(), size}, messages);
      for (auto &message : messages)
        if (!it->Closed)
          take(link, it, message);
      if (!it->Closed)
        read(link, it);
    });
  }

  void take(LinkId link, const ConnectionPtr &it, ServerMessage &message) {
    std::visit(Overloaded{
                   [&](ServerReady &) {
                     it->Ready = true;
                     Sink(LinkOpened{link});
                   },
                   [&](ServerRefusal &refusal) { fail(link, it, refusal.Why); },
                   [&](LinkReplied &reply) {
                     reply.Link = link;
                     Sink(std::move(reply));
                   },
                   [&](ProtocolError &) {
                     Metrics.count("link_protocol_errors_total");
                     fail(link, it, LinkFailure::Lost);
                   },
               },
               message);
  }

  void write(LinkId link, const ConnectionPtr &it, const std::string &bytes) {
    it->Unsent += bytes;
    if (it->Writing.empty())
      flush(link, it);
  }

  void flush(LinkId link, const ConnectionPtr &it) {
    it->Writing.swap(it->Unsent);
    asio::async_write(it->Socket, asio::buffer(it->Writing),
                      [this, link, it](std::error_code ec, std::size_t) {
                        detail::clearBuffer(it->Writing);
                        if (it->Closed)
                          return;
                        if (ec)
                          fail(link, it, LinkFailure::Lost);
                        else if (!it->Unsent.empty())
                          flush(link, it);
                      });
  }

  void fail(LinkId link, const ConnectionPtr &it, LinkFailure why) {
    it->Closed = true;
    std::error_code ec;
    it->Socket.close(ec);
    Connections.erase(link);
    Sink(LinkClosed{link, why});
  }

  asio::io_context &Io;
  const ICodecs &Codecs;
  EventSink Sink;
  IMetrics &Metrics;
  std::unordered_map<LinkId, ConnectionPtr> Connections;
};

} // namespace

std::unique_ptr<ILinkConnector> makeLinkConnector(asio::io_context &io, const ICodecs &codecs, EventSink sink,
                                                  IMetrics &metrics) {
  return std::make_unique<LinkConnector>(io, codecs, std::move(sink), metrics);
}

} // namespace rosemaryhinge

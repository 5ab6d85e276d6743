// Callers' connections.

#include "base/overloaded.h"
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

constexpr std::chrono::milliseconds Unacknowledged{5'000};
constexpr std::size_t ReadSize = 4'096;

struct Connection {
  Connection(tcp::socket socket, std::unique_ptr<ICallerCodec> codec)
      : Socket(std::move(socket)), Codec(std::move(codec)) {}

  tcp::socket Socket;
  std::unique_ptr<ICallerCodec> Codec;
  std::array<char, ReadSize> Buf{};
  std::string Unsent; ///< Waits for the write in progress.
  std::string Writing;
  bool Started = false; ///< The first message was read.
  bool Ending = false;  ///< Closed once everything is written.
  /// The decision logic has closed the session: statements that still arrive are refused.
  bool RefusesStatements = false;
  bool Closed = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class SessionListener : public ISessionListener {
public:
  SessionListener(asio::io_context &io, const SessionListenerOptions &options, const ICodecs &codecs,
                  EventSink sink, IMetrics &metrics)
      : Options(options), Codecs(codecs), Sink(std::move(sink)), Metrics(metrics), Acceptor(io) {
    const tcp::endpoint endpoint(asio::ip::make_address(options.Listen.Ip), options.Listen.Port);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(endpoint);
    Acceptor.listen(asio::socket_base::max_listen_connections);
    accept();
  }

  void greet(const AcceptSession &effect) override {
    if (const auto it = find(effect.Session))
      write(effect.Session, it, it->Codec->greeting());
  }

  void refuse(const RefuseSession &effect) override {
    if (const auto it = find(effect.Session)) {
      it->Ending = true;
      write(effect.Session, it, it->Codec->refusal(effect.Why));
    }
  }

  void answer(const AnswerStatement &effect) override {
    const auto it = find(effect.Session);
    if (it && (!it->Ending || it->RefusesStatements))
      write(effect.Session, it, it->Codec->answer(effect));
  }

  void close(const CloseSession &effect) override {
    const auto it = find(effect.Session);
    if (!it)
      return;
    it->Ending = true;
    it->RefusesStatements = !effect.LeavesUnanswered;
    finishLater(effect.Session, it);
  }

  void stopAccepting() override {
    if (std::exchange(Stopping, true))
      return;
    // The handler of the accept in progress, which may already hold a connection, does the rest.
    std::error_code ec;
    Acceptor.cancel(ec);
  }

  [[nodiscard]] std::uint16_t port() const override { return Acceptor.local_endpoint().port(); }

  [[nodiscard]] std::size_t pending() const override {
    std::size_t n = 0;
    for (const auto &[id, it] : Connections)
      n += it->Writing.empty() && !it->Ending ? 0 : 1;
    return n;
  }

private:
  [[nodiscard]] ConnectionPtr find(SessionId id) const {
    const auto it = Connections.find(id);
    return it == Connections.end() ? nullptr : it->second;
  }

  void accept() {
    Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (!ec)
        add(std::move(socket));
      else if (ec != asio::error::operation_aborted)
        Metrics.count("session_accept_failures_total");
      else if (!Stopping)
        return; // The listener is destroyed.
      if (Stopping)
        finishAccepting();
      else
        accept();
    });
  }

  void finishAccepting() {
    std::error_code ec;
    Acceptor.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(Acceptor.get_executor());
      Acceptor.accept(socket, ec);
      if (!ec)
        add(std::move(socket));
    }
    Acceptor.close(ec);
    Sink(AcceptingStopped{});
  }

  void add(tcp::socket socket) {
    if (Connections.size() >= Options.MaxSessions) {
      Metrics.count("session_connections_rejected_total");
      return;
    }
    detail::setSocketOptions(socket, Unacknowledged);
    const SessionId id{++LastId};
    const auto it = std::make_shared<Connection>(std::move(socket), Codecs.caller());
    Connections.emplace(id, it);
    Sink(CallerConnected{id});
    read(id, it);
  }

  void read(SessionId id, const ConnectionPtr &it) {
    it->Socket.async_read_some(asio::buffer(it->Buf), [this, id, it](std::error_code ec, std::size_t size) {
      if (it->Closed)
        return;
      if (ec) {
        gone(id, it);
        return;
      }
      receive(id, it, {it->Buf.data(), size});
      if (!it->Closed && !it->Ending)
        read(id, it);
    });
  }

  void receive(SessionId id, const ConnectionPtr &it, std::string_view bytes) {
    std::vector<CallerMessage> messages;
    it->Codec->decode(bytes, messages);
    for (auto &message : messages) {
      if (it->Closed)
        return;
      const auto *statement = std::get_if<SessionStatement>(&message);
      if (!it->Ending)
        take(id, it, std::move(message));
      else if (statement && it->RefusesStatements)
        refuseLate(id, it, *statement);
    }
  }

  /// Closes an ending connection once everything is written. A read that has completed is handled first.
  void finishLater(SessionId id, const ConnectionPtr &it) {
    asio::post(Acceptor.get_executor(), [this, id, it] {
      if (it->Closed || !it->Writing.empty())
        return;
      if (it->RefusesStatements)
        receiveAvailable(id, it);
      if (!it->Closed && it->Writing.empty())
        end(id, it);
    });
  }

  /// Takes what has arrived on a connection and was not read.
  void receiveAvailable(SessionId id, const ConnectionPtr &it) {
    std::array<char, ReadSize> buf{};
    std::error_code ec;
    while (!it->Closed && it->Socket.available(ec) > 0 && !ec)
      receive(id, it, {buf.data(), it->Socket.read_some(asio::buffer(buf), ec)});
  }

  /// Refuses, as not run, a statement that was received while its session was being closed. Without an answer
  /// the caller could not know that a write may be sent again.
  void refuseLate(SessionId id, const ConnectionPtr &it, const SessionStatement &statement) {
    Metrics.count("statements_refused_at_close_total");
    const StatementRejection why{Rejection::Busy, "the session is closed; retry at another proxy"};
    write(id, it, it->Codec->answer({id, statement.Id, why, TransactionState::Idle, std::nullopt}));
  }

  void take(SessionId id, const ConnectionPtr &it, CallerMessage message) {
    std::visit(Overloaded{
                   [&](SessionStart &start) {
                     if (std::exchange(it->Started, true))
                       protocolError(id, it, {Rejection::Malformed, "the session has started"});
                     else
                       Sink(SessionOpened{id, std::move(start.Database), start.Key});
                   },
                   [&](SessionStatement &statement) {
                     if (it->Started)
                       Sink(StatementArrived{id, std::move(statement)});
                     else
                       protocolError(id, it, {Rejection::Malformed, "the session has not started"});
                   },
                   [&](SessionLeave &) { gone(id, it); },
                   [&](ProtocolError &error) { protocolError(id, it, error); },
               },
               message);
  }

  void protocolError(SessionId id, const ConnectionPtr &it, const ProtocolError &error) {
    Metrics.count("session_protocol_errors_total");
    it->Ending = true;
    Sink(SessionClosed{id});
    write(id, it, it->Codec->refusal({error.Code, error.Message}));
  }

  void write(SessionId id, const ConnectionPtr &it, const std::string &bytes) {
    it->Unsent += bytes;
    if (it->Unsent.size() > Options.MaxUnsent) {
      Metrics.count("session_slow_readers_total");
      gone(id, it);
      return;
    }
    if (it->Writing.empty())
      flush(id, it);
  }

  void flush(SessionId id, const ConnectionPtr &it) {
    it->Writing.swap(it->Unsent);
    asio::async_write(it->Socket, asio::buffer(it->Writing), [this, id, it](std::error_code ec, std::size_t) {
      it->Writing.clear();
      if (it->Closed)
        return;
      if (ec)
        gone(id, it);
      else if (!it->Unsent.empty())
        flush(id, it);
      else if (it->Ending)
        finishLater(id, it);
    });
  }

  /// The caller has left, or cannot be reached.
  void gone(SessionId id, const ConnectionPtr &it) {
    if (!it->Ending)
      Sink(SessionClosed{id});
    end(id, it);
  }

  void end(SessionId id, const ConnectionPtr &it) {
    it->Closed = true;
    std::error_code ec;
    it->Socket.close(ec);
    Connections.erase(id);
  }

  SessionListenerOptions Options;
  const ICodecs &Codecs;
  EventSink Sink;
  IMetrics &Metrics;
  tcp::acceptor Acceptor;
  std::unordered_map<SessionId, ConnectionPtr> Connections;
  std::uint64_t LastId = 0;
  bool Stopping = false; ///< stopAccepting() was called.
};

} // namespace

std::unique_ptr<ISessionListener> makeSessionListener(asio::io_context &io,
                                                      const SessionListenerOptions &options,
                                                      const ICodecs &codecs, EventSink sink,
                                                      IMetrics &metrics) {
  return std::make_unique<SessionListener>(io, options, codecs, std::move(sink), metrics);
}

} // namespace rosemaryhinge

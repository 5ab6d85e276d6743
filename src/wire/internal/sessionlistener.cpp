// Callers' connections.

#include "base/bytebudget.h"
#include "base/overloaded.h"
#include "wire/internal/buffers.h"
#include "wire/internal/socketoptions.h"
#include "wire/wire.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <deque>
#include <malloc.h>
#include <unordered_map>

namespace rosemaryhinge {

namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds Unacknowledged{5'000};
constexpr std::size_t ReadSize = 4'096;
/// Written at once. What a slow reader accepts counts after each such piece.
constexpr std::size_t MaxWrite = std::size_t{64} << 10;
/// Memory of a statement or a connection besides its text.
constexpr std::size_t StatementOverhead = 256;
constexpr std::size_t ConnectionOverhead = std::size_t{8} << 10;
/// Bytes that are still taken from a connection whose session is closed. A caller that never stops sending
/// would hold up all others.
constexpr std::size_t MaxLateBytes = std::size_t{4} << 20;

constexpr std::string_view ReceivedBudgetUsed = "callers_closed_total{reason=\"received_bytes\"}";
constexpr std::string_view UnreadBudgetUsed = "callers_closed_total{reason=\"unread_answers\"}";
constexpr std::string_view NoSession = "callers_closed_total{reason=\"no_session\"}";
constexpr std::string_view MessageIncomplete = "callers_closed_total{reason=\"incomplete_message\"}";
constexpr std::string_view AnswerNotAccepted = "callers_closed_total{reason=\"answer_not_accepted\"}";

std::size_t sizeOf(const CallerMessage &message) {
  const auto *statement = std::get_if<SessionStatement>(&message);
  return StatementOverhead + (statement ? statement->Id.size() + statement->Text.size() : 0);
}

struct Connection {
  Connection(tcp::socket socket, std::unique_ptr<ICallerCodec> codec)
      : Socket(std::move(socket)), Codec(std::move(codec)) {}

  tcp::socket Socket;
  std::unique_ptr<ICallerCodec> Codec;
  std::array<char, ReadSize> Buf{};
  std::string Unsent; ///< Waits for the write in progress.
  std::string Writing;
  std::deque<CallerMessage> Backlog; ///< Read, but not passed on yet.
  std::size_t BacklogBytes = 0;
  ReceivedStatements Statements;
  ConditionAge WithoutSession;
  ConditionAge WithIncompleteMessage; ///< While it is read.
  ConditionAge WithStalledAnswer;
  bool Reading = false; ///< A read is in progress.
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
      : Limits(options.Limits), Codecs(codecs), Sink(std::move(sink)), Metrics(metrics), Acceptor(io),
        CheckTimer(io), Received(Limits.ReceivedBytes), Unread(Limits.UnreadBytes) {
    const tcp::endpoint endpoint(asio::ip::make_address(options.Listen.Ip), options.Listen.Port);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(endpoint);
    Acceptor.listen(asio::socket_base::max_listen_connections);
    accept();
    scheduleCheck();
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
    if (!it)
      return;
    it->Statements.answered();
    if (!it->Ending || it->RefusesStatements)
      write(effect.Session, it, it->Codec->answer(effect));
    if (it->Closed)
      return;
    noteReceived(effect.Session, *it);
    if (!it->Ending && !it->Reading && it->Statements.belowLimits())
      resumeLater(effect.Session, it);
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
    if (Connections.size() >= Limits.MaxSessions) {
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
    it->Reading = true;
    it->Socket.async_read_some(asio::buffer(it->Buf), [this, id, it](std::error_code ec, std::size_t size) {
      it->Reading = false;
      if (it->Closed)
        return;
      if (ec) {
        gone(id, it);
        return;
      }
      receive(id, it, {it->Buf.data(), size});
      if (mayRead(*it))
        read(id, it);
    });
  }

  /// Without reading, the caller's own sending stops, too.
  [[nodiscard]] static bool mayRead(const Connection &it) {
    return !it.Closed && !it.Ending && !it.Reading && it.Backlog.empty() && it.Statements.belowLimits();
  }

  /// Goes on with a connection that was not read. Not at once: answers are given during the events of others.
  void resumeLater(SessionId id, const ConnectionPtr &it) {
    asio::post(Acceptor.get_executor(), [this, id, it] {
      if (it->Closed || it->Ending || it->Reading)
        return;
      passOn(id, it);
      if (mayRead(*it))
        read(id, it);
    });
  }

  void receive(SessionId id, const ConnectionPtr &it, std::string_view bytes) {
    std::vector<CallerMessage> messages;
    it->Codec->decode(bytes, messages);
    // The message that has just become complete was incomplete before this read, a further one was not.
    if (!messages.empty())
      it->WithIncompleteMessage.reset();
    for (auto &message : messages) {
      it->BacklogBytes += sizeOf(message);
      it->Backlog.push_back(std::move(message));
    }
    passOn(id, it);
  }

  /// Passes messages on, in their order, as far as the limits of the connection allow.
  void passOn(SessionId id, const ConnectionPtr &it) {
    while (!it->Closed && !it->Backlog.empty() && (it->Ending || it->Statements.belowLimits())) {
      auto message = std::move(it->Backlog.front());
      it->Backlog.pop_front();
      const auto size = sizeOf(message);
      it->BacklogBytes -= size;
      const auto *statement = std::get_if<SessionStatement>(&message);
      if (!it->Ending) {
        if (statement)
          it->Statements.passedOn(size);
        take(id, it, std::move(message));
      } else if (statement && it->RefusesStatements) {
        refuseLate(id, it, *statement);
      }
    }
    if (!it->Closed)
      noteReceived(id, *it);
  }

  void noteReceived(SessionId id, const Connection &it) {
    Received.set(id, it.Codec->incomplete() + it.BacklogBytes + it.Statements.bytes());
    closeExcess(Received, ReceivedBudgetUsed);
  }

  void noteUnread(SessionId id, const Connection &it) {
    Unread.set(id, it.Unsent.size() + it.Writing.size());
    closeExcess(Unread, UnreadBudgetUsed);
  }

  void closeExcess(const ByteBudget<SessionId> &budget, std::string_view reason) {
    for (const auto &id : budget.excess())
      if (const auto it = find(id))
        closeFor(reason, id, it);
  }

  void closeFor(std::string_view reason, SessionId id, const ConnectionPtr &it) {
    Metrics.count(reason);
    gone(id, it);
  }

  void scheduleCheck() {
    CheckTimer.expires_after(Limits.CheckInterval);
    CheckTimer.async_wait([this](std::error_code ec) {
      if (ec)
        return; // The listener is destroyed.
      check();
      scheduleCheck();
    });
  }

  /// Closes connections that have exceeded a time, and releases memory after many have left.
  void check() {
    // Closing one changes the map.
    const std::vector<std::pair<SessionId, ConnectionPtr>> all(Connections.begin(), Connections.end());
    for (const auto &[id, it] : all)
      if (const auto reason = overdue(*it); !reason.empty())
        closeFor(reason, id, it);
    if (Release.due(Received.total() + Unread.total() + Connections.size() * ConnectionOverhead))
      ::malloc_trim(0);
  }

  /// Why the connection is to be closed; empty if it is not.
  [[nodiscard]] std::string_view overdue(Connection &it) const {
    const auto exceeds = [this](ConditionAge &age, bool holds, std::chrono::milliseconds time) {
      return age.exceeds(holds, time, Limits.CheckInterval);
    };
    if (it.Closed)
      return {};
    if (exceeds(it.WithoutSession, !it.Started, Limits.SessionStart))
      return NoSession;
    if (exceeds(it.WithIncompleteMessage, it.Reading && it.Codec->incomplete() > 0, Limits.Message))
      return MessageIncomplete;
    if (exceeds(it.WithStalledAnswer, !it.Writing.empty(), Limits.Answer))
      return AnswerNotAccepted;
    return {};
  }

  /// Closes an ending connection once everything is written. A read that has completed is handled first.
  void finishLater(SessionId id, const ConnectionPtr &it) {
    asio::post(Acceptor.get_executor(), [this, id, it] {
      if (it->Closed || !it->Writing.empty())
        return;
      passOn(id, it);
      if (it->RefusesStatements && !it->Closed)
        receiveAvailable(id, it);
      if (!it->Closed && it->Writing.empty())
        end(id, it);
    });
  }

  /// Takes what has arrived on a connection and was not read.
  void receiveAvailable(SessionId id, const ConnectionPtr &it) {
    std::array<char, ReadSize> buf{};
    std::error_code ec;
    for (std::size_t taken = 0; taken < MaxLateBytes && !it->Closed && it->Socket.available(ec) > 0 && !ec;) {
      const auto size = it->Socket.read_some(asio::buffer(buf), ec);
      taken += size;
      receive(id, it, {buf.data(), size});
    }
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
    if (it->Unsent.size() > Limits.MaxUnsent) {
      Metrics.count("session_slow_readers_total");
      gone(id, it);
      return;
    }
    if (it->Writing.empty())
      flush(id, it);
    noteUnread(id, *it);
  }

  void flush(SessionId id, const ConnectionPtr &it) {
    it->Writing.swap(it->Unsent);
    it->WithStalledAnswer.reset();
    const auto progress = [it, written = std::size_t{0}](std::error_code ec, std::size_t size) mutable {
      if (size > std::exchange(written, size))
        it->WithStalledAnswer.reset();
      return ec ? 0 : MaxWrite;
    };
    asio::async_write(it->Socket, asio::buffer(it->Writing), progress,
                      [this, id, it](std::error_code ec, std::size_t) {
                        detail::clearBuffer(it->Writing);
                        if (it->Closed)
                          return;
                        noteUnread(id, *it);
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
    Received.set(id, 0);
    Unread.set(id, 0);
    Connections.erase(id);
  }

  CallerLimits Limits;
  const ICodecs &Codecs;
  EventSink Sink;
  IMetrics &Metrics;
  tcp::acceptor Acceptor;
  asio::steady_timer CheckTimer;
  ByteBudget<SessionId> Received; ///< Received and not answered.
  ByteBudget<SessionId> Unread;   ///< Answers that were not accepted by their callers.
  MemoryRelease Release;
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

// HTTP server on RESTinio. The only file that includes RESTinio, which takes about 20 s to compile. TLS needs
// another stream socket in ServerTraits, nothing else.

#include "http/httpserver.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <unordered_map>

namespace rosemaryhinge {

namespace {

/// A body that exceeds the limit by less than this is read and answered with 413; beyond it the connection
/// is closed.
constexpr std::size_t OversizeTolerance = std::size_t{1} << 20;
constexpr std::size_t MaxUrl = 4096;
constexpr std::size_t MaxFieldName = 256;
constexpr std::size_t MaxFieldValue = 8192;
constexpr std::size_t MaxFields = 64;
/// With more than one, RESTinio reads on while a request is handled and notices that the caller has gone.
constexpr std::size_t PipelinedRequests = 2;

/// Counts RESTinio's errors, which are closed connections: broken HTTP, limits, half heads. RESTinio reports
/// neither a body that was cut off nor a sender that was too slow.
class CountingLogger {
public:
  explicit CountingLogger(std::function<void()> onError) : OnError(std::move(onError)) {}

  template <typename B> void trace(B &&) const noexcept {}
  template <typename B> void info(B &&) const noexcept {}
  template <typename B> void warn(B &&) const noexcept { OnError(); }
  template <typename B> void error(B &&) const noexcept { OnError(); }

private:
  std::function<void()> OnError;
};

class Listener {
public:
  std::function<void(restinio::connection_id_t)> OnClosed;
  std::size_t Open = 0; ///< Connections.

  // RESTinio names this method.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t &notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
      ++Open;
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
      return;
    --Open;
    if (OnClosed)
      OnClosed(notice.connection_id());
  }
};

/// Closes connections beyond the bound as they come in. RESTinio's own limiter is not used: its connections
/// refer to the server's acceptor, which a server that is stopped destroys before them.
class Gate {
public:
  Gate(std::shared_ptr<Listener> state, std::size_t limit, std::function<void()> onDenied)
      : State(std::move(state)), Limit(limit), OnDenied(std::move(onDenied)) {}

  restinio::ip_blocker::inspection_result_t inspect(const restinio::ip_blocker::incoming_info_t &) noexcept {
    if (State->Open < Limit)
      return restinio::ip_blocker::allow();
    OnDenied();
    return restinio::ip_blocker::deny();
  }

private:
  std::shared_ptr<Listener> State;
  std::size_t Limit;
  std::function<void()> OnDenied;
};

using Handler = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

// RESTinio names the members of a traits class.
// NOLINTBEGIN(readability-identifier-naming)
struct ServerTraits
    : restinio::single_thread_traits_t<restinio::asio_timer_manager_t, CountingLogger, Handler> {
  using connection_state_listener_t = Listener;
  using ip_blocker_t = Gate;
};
// NOLINTEND(readability-identifier-naming)

using Server = restinio::http_server_t<ServerTraits>;

class HttpServer : public IHttpServer {
public:
  HttpServer(asio::io_context &io, IMetrics &metrics, HttpOptions options)
      : Io(io), Metrics(metrics), Options(std::move(options)) {}

  ~HttpServer() override {
    // Connections outlive the server object in the loop and keep the listener.
    if (State)
      State->OnClosed = nullptr;
  }

  void start(RequestHandler onRequest, GoneHandler onGone) override {
    OnRequest = std::move(onRequest);
    OnGone = std::move(onGone);
    State = std::make_shared<Listener>();
    State->OnClosed = [this](restinio::connection_id_t id) { closed(id); };
    const auto errors = "http_connection_errors_total{listener=\"" + Options.Name + "\"}";
    const auto denied = "http_connections_refused_total{listener=\"" + Options.Name + "\"}";
    auto settings = restinio::server_settings_t<ServerTraits>{};
    settings.address(asio::ip::make_address(Options.Ip))
        .port(Options.Port)
        .logger([&metrics = Metrics, errors] { metrics.count(errors); })
        .timer_manager(Options.TimerResolution)
        .connection_state_listener(State)
        .ip_blocker(std::make_shared<Gate>(State, Options.MaxConnections,
                                           [&metrics = Metrics, denied] { metrics.count(denied); }))
        .max_pipelined_requests(PipelinedRequests)
        .read_next_http_message_timelimit(Options.ReadTimeout)
        .write_http_response_timelimit(Options.WriteTimeout)
        .handle_request_timeout(Options.HandleTimeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(MaxUrl)
                                      .max_field_name_size(MaxFieldName)
                                      .max_field_value_size(MaxFieldValue)
                                      .max_field_count(MaxFields)
                                      .max_body_size(Options.MaxBodyBytes + OversizeTolerance))
        .acceptor_options_setter([](restinio::acceptor_options_t &it) {
          it.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor &it) { BoundPort = it.local_endpoint().port(); })
        .request_handler([this](restinio::request_handle_t request) { return take(std::move(request)); });
    Instance = std::make_unique<Server>(restinio::external_io_context(Io), std::move(settings));
    Instance->open_sync();
  }

  void respond(HttpExchange exchange, HttpResponse response) override {
    const auto it = Open.find(exchange);
    if (it == Open.end()) {
      Metrics.count("http_answers_dropped_total{listener=\"" + Options.Name + "\"}");
      return;
    }
    const auto request = std::move(it->second);
    Open.erase(it);
    if (const auto own = ByConnection.find(request->connection_id()); own != ByConnection.end())
      if (std::erase(own->second, exchange); own->second.empty())
        ByConnection.erase(own);
    write(request, std::move(response));
  }

  void stop() override {
    if (Instance)
      Instance->close_sync();
    Instance.reset();
  }

  [[nodiscard]] std::uint16_t port() const override { return BoundPort; }
  [[nodiscard]] std::size_t pending() const override { return Open.size() + *Unwritten; }
  [[nodiscard]] std::size_t connections() const override { return State ? State->Open : 0; }

private:
  restinio::request_handling_status_t take(restinio::request_handle_t request) {
    const auto &header = request->header();
    Metrics.count("http_requests_total{listener=\"" + Options.Name + "\"}");
    if (request->body().size() > Options.MaxBodyBytes) {
      Metrics.count("http_body_too_large_total{listener=\"" + Options.Name + "\"}");
      HttpResponse response;
      response.Status = 413;
      response.Close = true;
      response.Body = R"({"error":{"reason":"bad_request","ran":"not_run","message":"the body exceeds )" +
                      std::to_string(Options.MaxBodyBytes) + R"( bytes"}})";
      write(request, std::move(response));
      return restinio::request_accepted();
    }
    HttpRequest out;
    out.Exchange = ++LastExchange;
    out.Method = header.method().c_str();
    out.Path = std::string(header.path().data(), header.path().size());
    header.for_each_field([&out](const auto &field) {
      out.Headers.emplace_back(std::string(field.name()), std::string(field.value()));
    });
    out.Body = request->body();
    out.RemoteIp = request->remote_endpoint().address().to_string();
    ByConnection[request->connection_id()].push_back(out.Exchange);
    Open.emplace(out.Exchange, std::move(request));
    OnRequest(std::move(out));
    return restinio::request_accepted();
  }

  void write(const restinio::request_handle_t &request, HttpResponse response) {
    auto out = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.Status)},
        response.Status < 400 ? "OK" : "Error"});
    out.append_header(restinio::http_field::content_type, std::move(response.ContentType));
    for (auto &[name, value] : response.Headers)
      out.append_header(std::move(name), std::move(value));
    if (response.Close)
      out.connection_close();
    out.set_body(std::move(response.Body));
    ++*Unwritten;
    out.done([unwritten = Unwritten](const auto &) { --*unwritten; });
  }

  void closed(restinio::connection_id_t id) {
    const auto node = ByConnection.extract(id);
    if (node.empty())
      return;
    for (const auto it : node.mapped())
      if (Open.erase(it) > 0)
        OnGone(it);
  }

  asio::io_context &Io;
  IMetrics &Metrics;
  HttpOptions Options;
  RequestHandler OnRequest;
  GoneHandler OnGone;
  std::shared_ptr<Listener> State;
  std::unique_ptr<Server> Instance;
  std::unordered_map<HttpExchange, restinio::request_handle_t> Open;
  std::unordered_map<restinio::connection_id_t, std::vector<HttpExchange>> ByConnection; ///< Of Open.
  HttpExchange LastExchange = 0;
  std::uint16_t BoundPort = 0;
  std::shared_ptr<std::size_t> Unwritten = std::make_shared<std::size_t>(0);
};

} // namespace

std::unique_ptr<IHttpServer> makeHttpServer(asio::io_context &io, IMetrics &metrics, HttpOptions options) {
  return std::make_unique<HttpServer>(io, metrics, std::move(options));
}

std::string_view HttpRequest::header(std::string_view name) const {
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
  };
  for (const auto &[key, value] : Headers)
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(), same))
      return value;
  return {};
}

} // namespace rosemaryhinge

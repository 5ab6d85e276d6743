// Operators' adapter: metrics, health and commands.

#include "admin/admin.h"

#include "json/jsonparse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_set>

namespace rosemaryhinge {

namespace {

constexpr std::string_view CommandPrefix = "/admin/";
constexpr std::size_t MaxCommand = 64;

HttpResponse error(int status, std::string_view message) {
  HttpResponse out;
  out.Status = status;
  out.Body = nlohmann::json{{"error", {{"message", message}}}}.dump(-1, ' ', false,
                                                                    nlohmann::json::error_handler_t::replace);
  return out;
}

HttpResponse text(int status, std::string body) {
  HttpResponse out;
  out.Status = status;
  out.ContentType = "text/plain; version=0.0.4; charset=utf-8";
  out.Body = std::move(body);
  return out;
}

bool validCommand(std::string_view it) {
  return !it.empty() && it.size() <= MaxCommand && std::all_of(it.begin(), it.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '.' || c == '_' || c == '-';
  });
}

class Admin : public IAdmin {
public:
  Admin(std::unique_ptr<IHttpServer> server, EventSink sink, Metrics &metrics, std::function<bool()> ready)
      : Server(std::move(server)), Sink(std::move(sink)), Counters(metrics), Ready(std::move(ready)) {}

  void start() override {
    Server->start([this](const HttpRequest &request) { take(request); },
                  [this](HttpExchange exchange) { Open.erase(exchange); });
  }

  void reply(const AdminReply &effect) override {
    if (Open.erase(effect.Id) == 0) {
      Counters.count("admin_replies_unmatched_total");
      return;
    }
    HttpResponse out;
    out.Status = effect.HttpStatus;
    out.Body = effect.Body;
    Server->respond(effect.Id, std::move(out));
  }

  void stop() override { Server->stop(); }
  [[nodiscard]] std::uint16_t port() const override { return Server->port(); }
  [[nodiscard]] std::size_t pending() const override { return Server->pending() - Open.size(); }

private:
  void take(const HttpRequest &request) {
    if (request.Path.starts_with(CommandPrefix))
      command(request);
    else if (request.Path == "/metrics" || request.Path == "/healthz" || request.Path == "/readyz")
      view(request);
    else
      Server->respond(request.Exchange, error(404, "no such path"));
  }

  void view(const HttpRequest &request) {
    if (request.Method != "GET") {
      Server->respond(request.Exchange, error(405, "the method must be GET"));
    } else if (request.Path == "/metrics") {
      Server->respond(request.Exchange, text(200, Counters.text()));
    } else if (request.Path == "/healthz" || Ready()) {
      Server->respond(request.Exchange, text(200, "ok\n"));
    } else {
      Server->respond(request.Exchange, text(503, "not ready\n"));
    }
  }

  void command(const HttpRequest &request) {
    const auto name = request.Path.substr(CommandPrefix.size());
    if (request.Method != "POST") {
      Server->respond(request.Exchange, error(405, "the method must be POST"));
      return;
    }
    if (!validCommand(name)) {
      Server->respond(request.Exchange, error(404, "no such command"));
      return;
    }
    auto body = request.Body.empty() ? std::string("{}") : request.Body;
    try {
      if (!parseJson(body).is_object()) {
        Server->respond(request.Exchange, error(400, "body: expected a JSON object"));
        return;
      }
    } catch (const std::exception &e) {
      Server->respond(request.Exchange, error(400, std::string("body: ") + e.what()));
      return;
    }
    if (Open.size() >= MaxOpenCommands) {
      Counters.count("admin_commands_rejected_total");
      Server->respond(request.Exchange, error(503, "too many commands are open"));
      return;
    }
    Open.insert(request.Exchange);
    Sink(AdminRequest{request.Exchange, name, std::move(body)});
  }

  std::unique_ptr<IHttpServer> Server;
  EventSink Sink;
  Metrics &Counters;
  std::function<bool()> Ready;
  std::unordered_set<HttpExchange> Open;
};

} // namespace

std::unique_ptr<IAdmin> makeAdmin(std::unique_ptr<IHttpServer> server, EventSink sink, Metrics &metrics,
                                  std::function<bool()> ready) {
  return std::make_unique<Admin>(std::move(server), std::move(sink), metrics, std::move(ready));
}

} // namespace rosemaryhinge

// The platform's store.

#include "platformsoak/objectstore.h"

#include "platformsoak/sockets.h"

#include <algorithm>

namespace rosemaryhinge::platformsoak {

namespace {

constexpr Millis CallMs = 4;
constexpr std::size_t PageItems = 500;
constexpr Millis CopyEveryMs = 250;
constexpr std::size_t MaxCopies = 60;
constexpr std::size_t MaxEvents = 5'000;
constexpr std::string_view Root = "/-/objects/";
constexpr int Unavailable = 503;
constexpr double LateShare = 0.3;
constexpr Millis LeastLateMs = 1'000;
constexpr Millis StaleMs = 3'000;

} // namespace

ObjectStore::ObjectStore(Millis mostLateMs)
    : MostLateMs(mostLateMs), Front([this](const HttpRequest &it) { return handle(it); }) {
  std::thread([this] { keepCopies(); }).detach();
}

void ObjectStore::keepCopies() {
  for (;; sleepMs(CopyEveryMs)) {
    const std::lock_guard hold(Lock);
    if (State != StoreState::Serving)
      continue;
    Copies.push_back({nowMs(), Revision, Content});
    if (Copies.size() > MaxCopies)
      Copies.pop_front();
  }
}

void ObjectStore::changed(const std::string &kind, const Json &object, bool deleted) {
  History.push_back({Revision, kind, object, deleted});
  if (History.size() > MaxEvents) {
    HistoryFrom = History.front().Revision;
    History.pop_front();
  }
  Changed.notify_all();
}

const Json &ObjectStore::writeLocked(const std::string &kind, const std::string &name, const Json &spec) {
  auto &object = Content[kind][name];
  if (!object.is_null() && object["spec"] == spec)
    return object;
  ++Revision;
  const auto created = object.is_null() ? Revision : object["meta"]["created"].get<std::uint64_t>();
  object = {{"meta",
             {{"name", name},
              {"revision", Revision},
              {"created", created},
              {"finalizers", Json::array()},
              {"deletionPending", false}}},
            {"spec", spec},
            {"status", nullptr}};
  changed(kind, object, false);
  return object;
}

bool ObjectStore::removeLocked(const std::string &kind, const std::string &name) {
  const auto it = Content[kind].find(name);
  if (it == Content[kind].end())
    return false;
  ++Revision;
  const auto object = it->second;
  Content[kind].erase(it);
  changed(kind, object, true);
  return true;
}

bool ObjectStore::write(const std::string &kind, const std::string &name, const Json &spec) {
  sleepMs(CallMs);
  const std::lock_guard hold(Lock);
  if (State != StoreState::Serving)
    return false;
  writeLocked(kind, name, spec);
  return true;
}

bool ObjectStore::remove(const std::string &kind, const std::string &name) {
  const std::lock_guard hold(Lock);
  return State == StoreState::Serving && removeLocked(kind, name);
}

std::map<std::string, Json> ObjectStore::all(const std::string &kind) {
  const std::lock_guard hold(Lock);
  return Content[kind];
}

void ObjectStore::setSlow(Millis ms) {
  const std::lock_guard hold(Lock);
  SlowMs = ms;
}

void ObjectStore::delayWrites(Millis ms, std::uint64_t seed) {
  const std::lock_guard hold(Lock);
  WritesLateUntil = nowMs() + ms;
  Random.seed(seed);
}

const ObjectStore::Copy *ObjectStore::staleCopy() {
  if (WritesLateUntil <= nowMs())
    return nullptr;
  const auto oldest = nowMs() - std::uniform_int_distribution<Millis>(0, StaleMs)(Random);
  const auto it =
      std::find_if(Copies.begin(), Copies.end(), [&](const Copy &one) { return one.At >= oldest; });
  return it == Copies.end() ? nullptr : &*it;
}

void ObjectStore::setState(StoreState state) {
  const std::lock_guard hold(Lock);
  State = state;
  Changed.notify_all();
}

void ObjectStore::restore(Millis age) {
  const std::lock_guard hold(Lock);
  const Copy *chosen = nullptr;
  for (const auto &it : Copies)
    if (!chosen || it.At <= nowMs() - age)
      chosen = &it;
  if (!chosen)
    return;
  Content = chosen->Content;
  Revision = chosen->Revision;
  HistoryFrom = Revision;
  History.clear();
  ++Era;
  State = StoreState::Serving;
  Copies.clear();
  Changed.notify_all();
}

HttpReply ObjectStore::handle(const HttpRequest &request) {
  Millis slow = 0;
  {
    const std::lock_guard hold(Lock);
    slow = SlowMs;
  }
  sleepMs(CallMs + slow);
  auto out = dispatch(request);
  const std::lock_guard hold(Lock);
  out.Headers["Store-Era"] = std::to_string(Era);
  return out;
}

HttpReply ObjectStore::dispatch(const HttpRequest &request) {
  {
    const std::lock_guard hold(Lock);
    if (State != StoreState::Serving)
      return {State == StoreState::Busy ? Unavailable : 0, "{}"};
  }
  if (!request.Path.starts_with(Root))
    return {404, "{}"};
  auto kind = request.Path.substr(Root.size());
  std::string name;
  if (const auto slash = kind.find('/'); slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  if (request.Method == "GET" && name.empty())
    return request.Query.contains("watch") ? watch(kind, request) : list(kind, request);
  if (request.Method == "GET") {
    const std::lock_guard hold(Lock);
    const auto it = Content[kind].find(name);
    return it == Content[kind].end() ? HttpReply{404, "{}"} : HttpReply{200, it->second.dump()};
  }
  return carryOut(kind, name, request);
}

HttpReply ObjectStore::carryOut(const std::string &kind, const std::string &name,
                                const HttpRequest &request) {
  const auto write = [this, kind, name, request] {
    return request.Method == "DELETE" ? remove(kind, name, request) : put(kind, name, request);
  };
  const std::lock_guard hold(Lock);
  if (WritesLateUntil <= nowMs() || !std::bernoulli_distribution(LateShare)(Random))
    return write();
  const auto delay = std::uniform_int_distribution<Millis>(LeastLateMs, MostLateMs)(Random);
  LateWrites.emplace_back([this, write, delay, era = Era](const std::stop_token &stop) {
    std::unique_lock held(Lock);
    Ending.wait_for(held, stop, std::chrono::milliseconds(delay), [] { return false; });
    if (!stop.stop_requested() && State == StoreState::Serving && era == Era)
      write();
  });
  return {0, ""};
}

HttpReply ObjectStore::remove(const std::string &kind, const std::string &name, const HttpRequest &request) {
  const auto it = Content[kind].find(name);
  if (it == Content[kind].end())
    return {404, "{}"};
  const auto wanted = request.Query.find("revision");
  if (wanted != request.Query.end() &&
      wanted->second != std::to_string(it->second["meta"]["revision"].get<std::uint64_t>()))
    return {409, it->second.dump()};
  removeLocked(kind, name);
  return {200, "{}"};
}

HttpReply ObjectStore::list(const std::string &kind, const HttpRequest &request) {
  const std::lock_guard hold(Lock);
  const auto from = request.Query.find("after");
  const auto after = from == request.Query.end() ? std::string() : from->second;
  Json items = Json::array();
  bool more = false;
  const auto *copy = request.Query.contains("staleRead") ? staleCopy() : nullptr;
  const Objects &objects = copy ? copy->Content : Content;
  const auto found = objects.find(kind);
  static const std::map<std::string, Json> None;
  for (const auto &[name, object] : found == objects.end() ? None : found->second) {
    if (name <= after && !after.empty())
      continue;
    if (items.size() == PageItems) {
      more = true;
      break;
    }
    items.push_back(object);
  }
  return {
      200,
      Json{{"items", items}, {"hasMore", more}, {"storeRevision", copy ? copy->Revision : Revision}}.dump()};
}

HttpReply ObjectStore::watch(const std::string &kind, const HttpRequest &request) {
  const auto from = std::stoull(request.Query.at("watch"));
  const auto wait = request.Query.contains("waitMs") ? std::stoll(request.Query.at("waitMs")) : 0;
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  std::unique_lock hold(Lock);
  const auto era = Era;
  for (;;) {
    if (State != StoreState::Serving || era != Era)
      return {0, ""};
    if (from < HistoryFrom || from > Revision)
      return {410, "{}"};
    Json events = Json::array();
    for (const auto &it : History)
      if (it.Kind == kind && it.Revision > from)
        events.push_back({{"object", it.Object}, {"deleted", it.Deleted}});
    if (!events.empty() || Changed.wait_until(hold, until) == std::cv_status::timeout)
      return {200, Json{{"events", events}, {"storeRevision", Revision}}.dump()};
  }
}

HttpReply ObjectStore::put(const std::string &kind, std::string name, const HttpRequest &request) {
  const auto body = Json::parse(request.Body);
  const auto &meta = body.at("meta");
  const bool create = request.Method == "POST";
  if (create)
    name = meta.at("name").get<std::string>();
  const auto it = Content[kind].find(name);
  if (!create && it == Content[kind].end())
    return {404, "{}"};
  const bool other = it != Content[kind].end() && meta.contains("revision") &&
                     meta["revision"] != it->second["meta"]["revision"];
  if (it != Content[kind].end() && (create || other))
    return {409, it->second.dump()};
  return {200, writeLocked(kind, name, body.at("spec")).dump()};
}

} // namespace rosemaryhinge::platformsoak

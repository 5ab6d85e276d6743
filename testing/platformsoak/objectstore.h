// The platform's store: objects by kind and name, one revision counter, watches, and its troubles.

#pragma once

#include "platformsoak/clock.h"
#include "platformsoak/httpserver.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rosemaryhinge::platformsoak {

using Json = nlohmann::json;

enum class StoreState { Serving, Busy, Silent };

class ObjectStore {
public:
  /// Late writes are carried out after this time at most.
  explicit ObjectStore(Millis mostLateMs = 6'000);
  [[nodiscard]] int port() const { return Front.port(); }
  /// Writes like the operator or a server, and waits for the store's usual time. False while it is down.
  bool write(const std::string &kind, const std::string &name, const Json &spec);
  bool remove(const std::string &kind, const std::string &name);
  /// Names and values of a kind.
  [[nodiscard]] std::map<std::string, Json> all(const std::string &kind);

  /// Extra time for each call.
  void setSlow(Millis ms);
  /// For this time some writes of proxies get no answer and are carried out 1 to 6 s later, if their
  /// condition still holds then and the store serves and is of the same era. Lists with staleRead=1 are up to
  /// 3 s old.
  void delayWrites(Millis ms, std::uint64_t seed);
  /// Busy: 503 to each call. Silent: connections end without an answer. Waiting watches are cut off.
  void setState(StoreState state);
  /// Puts a copy of about this age in the place of the objects, in a new era.
  void restore(Millis age);

private:
  using Objects = std::map<std::string, std::map<std::string, Json>>;
  struct Event {
    std::uint64_t Revision;
    std::string Kind;
    Json Object;
    bool Deleted;
  };
  struct Copy {
    Millis At;
    std::uint64_t Revision;
    Objects Content;
  };
  HttpReply handle(const HttpRequest &request);
  HttpReply dispatch(const HttpRequest &request);
  HttpReply list(const std::string &kind, const HttpRequest &request);
  HttpReply watch(const std::string &kind, const HttpRequest &request);
  HttpReply carryOut(const std::string &kind, const std::string &name, const HttpRequest &request);
  // The lock is held.
  HttpReply put(const std::string &kind, std::string name, const HttpRequest &request);
  HttpReply remove(const std::string &kind, const std::string &name, const HttpRequest &request);
  [[nodiscard]] const Copy *staleCopy();
  const Json &writeLocked(const std::string &kind, const std::string &name, const Json &spec);
  bool removeLocked(const std::string &kind, const std::string &name);
  void changed(const std::string &kind, const Json &object, bool deleted);
  void keepCopies();

  std::mutex Lock;
  std::condition_variable Changed;
  Objects Content;
  std::deque<Event> History;
  std::deque<Copy> Copies;
  std::uint64_t Revision = 100;
  /// Of the oldest event that is still known.
  std::uint64_t HistoryFrom = 100;
  std::uint64_t Era = 1;
  StoreState State = StoreState::Serving;
  Millis SlowMs = 0;
  const Millis MostLateMs;
  Millis WritesLateUntil = 0;
  std::mt19937_64 Random;
  std::condition_variable_any Ending;   ///< Wakes late writes when the store ends.
  std::vector<std::jthread> LateWrites; ///< Each waits until it is carried out.
  HttpServer Front;
};

} // namespace rosemaryhinge::platformsoak

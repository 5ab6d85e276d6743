// HTTP face of the platform: objects and the list of VMs, with faults.

#pragma once

#include "standin/httpmessage.h"
#include "standin/objectstore.h"
#include "standin/vmlist.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace rosemaryhinge::standin {

struct PlatformFaults {
  bool Down = false;                 ///< Connections are closed without an answer, and nothing takes effect.
  std::chrono::milliseconds Delay{}; ///< Added before each call is carried out.
  std::uint64_t LoseAnswers = 0;     ///< The next updates take effect and their connections are closed.
};

class PlatformApi {
public:
  explicit PlatformApi(asio::io_context &io) : Io(io) {}

  /// Whether a path belongs to the platform.
  [[nodiscard]] static bool owns(const HttpRequest &request);
  void handle(const HttpRequest &request, const HttpReply &reply);

  ObjectStore Store;
  VmList Vms;
  PlatformFaults Faults;

private:
  void dispatch(const HttpRequest &request, const HttpReply &reply);
  void get(const HttpRequest &request, const std::string &key, const HttpReply &reply);
  void put(const HttpRequest &request, const std::string &key, const HttpReply &reply);

  asio::io_context &Io;
};

} // namespace rosemaryhinge::standin

// The servers of one database and the replication between them.

#include "standin/databasegroup.h"

#include <stdexcept>
#include <utility>

namespace rosemaryhinge::standin {

namespace {

constexpr std::chrono::milliseconds HeartbeatInterval{20};

bool connected(const DatabaseServer &from, const DatabaseServer &to) {
  return from.Running && to.Running && !from.CutFromServers && !to.CutFromServers;
}

} // namespace

DatabaseGroup::DatabaseGroup(asio::io_context &io, DatabaseId database, const std::vector<TargetId> &targets,
                             std::size_t primary, std::uint32_t slotLimit)
    : Io(io), Database(std::move(database)), Timer(io) {
  for (const auto &target : targets)
    Servers.push_back(std::make_unique<DatabaseServer>(target, slotLimit));
  auto &first = *Servers.at(primary);
  first.promote(1);
  for (auto &it : Servers) {
    if (it.get() != &first)
      it->receive(first, first.Log.size(), DatabaseServer::Clock::now());
    it->OnCommit = [this, server = it.get()] { send(*server); };
  }
  heartbeat();
}

void DatabaseGroup::initialise(const std::vector<std::string> &sql) {
  for (auto &it : Servers) {
    if (!it->Primary)
      continue;
    it->beginWork();
    for (const auto &text : sql) {
      auto outcome = it->Work.execute(text);
      if (const auto *error = std::get_if<SqlError>(&outcome))
        throw std::runtime_error("initial statement failed: " + error->Message);
    }
    it->commitWork(sql);
  }
}

void DatabaseGroup::heartbeat() {
  for (auto &it : Servers)
    send(*it);
  Timer.expires_after(HeartbeatInterval);
  Timer.async_wait([this](std::error_code ec) {
    if (!ec)
      heartbeat();
  });
}

void DatabaseGroup::send(DatabaseServer &from) {
  if (!from.Primary)
    return;
  for (auto &it : Servers) {
    if (it.get() == &from || !connected(from, *it))
      continue;
    auto timer = std::make_shared<asio::steady_timer>(Io, it->Lag);
    timer->async_wait([this, timer, &from, to = it.get(), term = from.Office,
                       count = from.Log.size()](std::error_code) { deliver(from, *to, term, count); });
  }
}

void DatabaseGroup::deliver(DatabaseServer &from, DatabaseServer &to, Term term, std::size_t count) {
  // The log of a primary that was replaced may have been cut since; what was on its way is lost with it.
  if (from.Primary && from.Office == term && connected(from, to))
    to.receive(from, count, DatabaseServer::Clock::now());
}

} // namespace rosemaryhinge::standin

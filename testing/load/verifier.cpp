// Final check of a run.

#include "load/verifier.h"

#include "load/persistentpost.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace rosemaryhinge::load {

namespace {

constexpr std::size_t PageRows = 500;
constexpr std::chrono::milliseconds StepLimit{30'000};
/// Sorts after every key of the run's operations, which are numbers.
constexpr const char *FinalKey = "final";

} // namespace

Verifier::Verifier(asio::io_context &io, Proxies &to, Ledger &ledger, std::vector<std::string> databases,
                   std::string run)
    : Io(io), To(to), Notes(ledger), Databases(std::move(databases)), Run(std::move(run)) {}

void Verifier::start(std::function<void(const std::string &)> done) {
  Done = std::move(done);
  next();
}

void Verifier::next() {
  if (Index == Databases.size())
    return Done("");
  LastKey.clear();
  Runs.clear();
  write();
}

void Verifier::post(const std::string &body, std::function<void(const Reply &)> done) {
  std::make_shared<PersistentPost>(Io, To, "/v1/db/" + Databases[Index] + "/transaction", body,
                                   std::move(done))
      ->start(StepLimit);
}

void Verifier::write() {
  // The token of a write made now covers all earlier ones, so the pages may come from replicas.
  nlohmann::json body = {
      {"statements", {"INSERT INTO load_run VALUES ('" + Run + "', 0, '" + FinalKey + "')"}},
      {"idempotency_key", Run + "-" + FinalKey}};
  post(body.dump(), [this](const Reply &reply) {
    if (!reply.Ok)
      return Done("final write in " + Databases[Index] + ": " + reply.Reason);
    Token = reply.Session;
    readPage();
  });
}

void Verifier::readPage() {
  nlohmann::json body = {{"statements",
                          {"SELECT key, COUNT(*) FROM load_run WHERE run = '" + Run + "' AND key > '" +
                           LastKey + "' GROUP BY key ORDER BY key LIMIT " + std::to_string(PageRows)}},
                         {"read_only", true},
                         {"session", Token}};
  post(body.dump(), [this](const Reply &reply) { take(reply); });
}

void Verifier::take(const Reply &reply) {
  if (!reply.Ok)
    return Done("keys of " + Databases[Index] + ": " + reply.Reason);
  for (const auto &row : reply.LastRows) {
    if (row.size() != 2)
      return Done("keys of " + Databases[Index] + ": unexpected columns");
    Runs[row[0]] = std::strtoull(row[1].c_str(), nullptr, 10);
    LastKey = row[0];
  }
  if (reply.LastRows.size() == PageRows)
    return readPage();
  if (!Runs.contains(FinalKey))
    return Done("keys of " + Databases[Index] + ": the final write is missing");
  Notes.compare(Databases[Index], Runs);
  ++Index;
  next();
}

} // namespace rosemaryhinge::load

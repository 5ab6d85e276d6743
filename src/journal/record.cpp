// JSON form and order of records.

#include "journal/record.h"

#include "json/jsonparse.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

namespace rosemaryhinge {

namespace {

using nlohmann::json;

/// Text of one field; a longer one is cut, so that a record stays small.
constexpr std::size_t MaxText = 500;

std::string bounded(const std::string &text) {
  return text.size() <= MaxText ? text : text.substr(0, MaxText) + "...";
}

/// Place of a record on the common line of time.
std::int64_t middle(const JournalRecord &it) {
  if (!it.EarliestMicros || !it.LatestMicros)
    return it.BootMicros;
  return *it.EarliestMicros + (*it.LatestMicros - *it.EarliestMicros) / 2;
}

/// Moves records of a higher number behind all records of lower numbers of the same chain.
void enforceChain(const std::vector<JournalRecord> &records, const std::vector<std::size_t> &chain,
                  std::uint64_t (*number)(const JournalRecord &), std::vector<std::int64_t> &at) {
  auto order = chain;
  std::sort(order.begin(), order.end(), [&](auto a, auto b) {
    return std::tuple(number(records[a]), at[a]) < std::tuple(number(records[b]), at[b]);
  });
  std::optional<std::int64_t> latest;
  for (auto it : order) {
    if (latest && at[it] < *latest)
      at[it] = *latest;
    latest = at[it];
  }
}

} // namespace

std::string formatRecord(const JournalRecord &record) {
  json out = {{"node", record.Id.Node.str()},       {"incarnation", record.Id.Incarnation},
              {"sequence", record.Id.Sequence},     {"kind", record.Entry.Kind},
              {"what", bounded(record.Entry.What)}, {"why", bounded(record.Entry.Why)},
              {"boot_us", record.BootMicros}};
  if (!record.Entry.Database.empty())
    out["database"] = record.Entry.Database.str();
  if (record.Entry.Term != 0)
    out["term"] = record.Entry.Term;
  if (record.Entry.Revision != 0)
    out["revision"] = record.Entry.Revision;
  if (record.EarliestMicros && record.LatestMicros) {
    out["earliest_us"] = *record.EarliestMicros;
    out["latest_us"] = *record.LatestMicros;
  }
  for (const auto &it : record.Counters)
    out["counters"].push_back({{"kind", it.Kind},
                               {"database", it.Database.str()},
                               {"class", it.Class},
                               {"reason", it.Reason},
                               {"count", it.Count}});
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JournalRecord> parseRecord(std::string_view text) {
  try {
    auto in = parseJson(text);
    JournalRecord out;
    out.Id = {NodeId(in.at("node").get<std::string>()), in.at("incarnation").get<std::uint64_t>(),
              in.at("sequence").get<std::uint64_t>()};
    out.Entry.Kind = in.at("kind").get<std::string>();
    out.Entry.What = in.value("what", "");
    out.Entry.Why = in.value("why", "");
    out.Entry.Database = DatabaseId(in.value("database", ""));
    out.Entry.Term = in.value("term", Term{0});
    out.Entry.Revision = in.value("revision", std::uint64_t{0});
    out.BootMicros = in.value("boot_us", std::int64_t{0});
    if (in.contains("earliest_us") && in.contains("latest_us")) {
      out.EarliestMicros = in.at("earliest_us").get<std::int64_t>();
      out.LatestMicros = in.at("latest_us").get<std::int64_t>();
    }
    if (in.contains("counters"))
      for (const auto &it : in.at("counters"))
        out.Counters.push_back({it.value("kind", ""), DatabaseId(it.value("database", "")),
                                it.value("class", ""), it.value("reason", ""),
                                it.value("count", std::uint64_t{0})});
    return out;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

void orderRecords(std::vector<JournalRecord> &records) {
  std::sort(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.Id < b.Id; });
  records.erase(
      std::unique(records.begin(), records.end(), [](const auto &a, const auto &b) { return a.Id == b.Id; }),
      records.end());
  std::vector<std::int64_t> at;
  std::map<DatabaseId, std::vector<std::size_t>> terms;
  std::vector<std::size_t> revisions;
  for (std::size_t i = 0; i < records.size(); ++i) {
    at.push_back(middle(records[i]));
    if (records[i].Entry.Term != 0)
      terms[records[i].Entry.Database].push_back(i);
    if (records[i].Entry.Revision != 0)
      revisions.push_back(i);
  }
  // A record may be part of both chains: a second pass carries moves of one over to the other.
  for (int pass = 0; pass < 2; ++pass) {
    for (const auto &[database, chain] : terms)
      enforceChain(
          records, chain, [](const auto &it) { return it.Entry.Term; }, at);
    enforceChain(
        records, revisions, [](const auto &it) { return it.Entry.Revision; }, at);
  }
  std::vector<std::size_t> order(records.size());
  for (std::size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::sort(order.begin(), order.end(), [&](auto a, auto b) {
    auto key = [&](auto i) {
      return std::tuple(at[i], records[i].Entry.Term, records[i].Entry.Revision, records[i].Id);
    };
    return key(a) < key(b);
  });
  std::vector<JournalRecord> out;
  out.reserve(records.size());
  for (auto i : order)
    out.push_back(std::move(records[i]));
  records = std::move(out);
}

} // namespace rosemaryhinge

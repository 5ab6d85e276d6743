// JSON form of slot tables.

#include "slots/internal/slottable.h"

#include "json/jsonparse.h"

#include <nlohmann/json.hpp>

namespace rosemaryhinge::detail {

namespace {

constexpr std::size_t MaxSlotsPerServer = 64;

} // namespace

std::string formatSlotTable(const SlotTable &table) {
  nlohmann::json targets = nlohmann::json::object();
  for (const auto &[target, records] : table.Targets) {
    auto &list = targets[target.str()] = nlohmann::json::array();
    for (const auto &it : records)
      list.push_back(
          {{"holder", it.Holder.str()}, {"incarnation", it.Incarnation}, {"generation", it.Generation}});
  }
  return nlohmann::json{{"change_id", table.ChangeId}, {"targets", targets}}.dump();
}

std::optional<SlotTable> parseSlotTable(std::string_view text) {
  try {
    auto json = parseJson(text);
    SlotTable out;
    out.ChangeId = json.at("change_id").get<std::string>();
    for (const auto &[target, list] : json.at("targets").items()) {
      if (list.size() > MaxSlotsPerServer)
        return std::nullopt;
      auto &records = out.Targets[TargetId(target)];
      for (const auto &it : list)
        records.push_back({NodeId(it.at("holder").get<std::string>()),
                           it.at("incarnation").get<std::uint64_t>(),
                           it.at("generation").get<std::uint64_t>()});
    }
    return out;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace rosemaryhinge::detail

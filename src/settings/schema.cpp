// The schema table and the text forms of its values.

#include "settings/schema.h"

#include "base/overloaded.h"
#include "settings/valuetext.h"

#include <algorithm>
#include <array>
#include <vector>

namespace rosemaryhinge {

namespace {

constexpr double us(Duration value) { return static_cast<double>(value.count()); }

constexpr std::array Table = {
    SettingSpec{"acknowledge.strength", "What must hold a write before it is acknowledged.",
                &ClassPolicy::Acknowledge},
    SettingSpec{"repeatable", "Whether a request that did not run may be run again by the proxy.",
                &ClassPolicy::Repeatable},
    SettingSpec{"lane", "Queue that the class starts in.", &ClassPolicy::Lane},
    SettingSpec{"read.wait", "How long a read waits for a replica that is expected to catch up.",
                &ClassPolicy::ReadWait, 0, us(10s)},
    SettingSpec{"deadline.default", "Time for a request that names no deadline.",
                &ClassPolicy::DefaultDeadline, us(10ms), us(1h)},
    SettingSpec{"read.max_staleness", "Accepted age of data for reads; 0s asks for read-your-writes only.",
                &ClassPolicy::MaxStaleness, 0, us(1h)},
    SettingSpec{"acknowledge.window",
                "How long a confirmation of the term by a majority allows acknowledgements.",
                &DatabasePolicy::AckWindow, us(50ms), us(10s), NodeKind::Service},
    SettingSpec{"status.interval", "Time between status queries to an idle server.",
                &DatabasePolicy::StatusInterval, us(10ms), us(5s), NodeKind::Service},
    SettingSpec{"failover.suspect_after", "Time without contact after which the primary is suspected.",
                &DatabasePolicy::SuspectAfter, us(100ms), us(1min), NodeKind::Service},
    SettingSpec{"failover.takeover_after", "Time after which another proxy takes over a failover.",
                &DatabasePolicy::TakeoverAfter, us(500ms), us(5min), NodeKind::Service},
    SettingSpec{"failover.min_interval", "Shortest time between two failovers of a database.",
                &DatabasePolicy::MinChangeInterval, 0, us(1h), NodeKind::Service},
    SettingSpec{"lane.long_after", "Median duration above which a class moves to the long lane.",
                &DatabasePolicy::LongAfter, us(1ms), us(10min), NodeKind::Service},
    SettingSpec{"lane.long_share", "Share of the connections that long work may use.",
                &DatabasePolicy::LongShare, 0.01, 1, NodeKind::Service},
    SettingSpec{"queue.limit", "Requests that may wait per lane at one proxy.", &DatabasePolicy::QueueLimit,
                1, 1e6, NodeKind::Service},
    SettingSpec{"retry.budget", "Retries as a share of requests.", &DatabasePolicy::RetryBudget, 0, 1,
                NodeKind::Service},
    SettingSpec{"slots.connections", "Connections that one slot allows.", &DatabasePolicy::SlotConnections, 1,
                1000, NodeKind::Service},
    SettingSpec{"slots.warm_connections", "Idle connections that are kept open per slot.",
                &DatabasePolicy::WarmConnections, 0, 1000, NodeKind::Service},
    SettingSpec{"settings.history_limit", "Changes that the settings object keeps.",
                &TreePolicy::HistoryLimit, 10, 1000, NodeKind::Root},
};

std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j)
    row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    auto diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      auto above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row[b.size()];
}

template <typename S, typename T> S structOf(T S::*);
template <typename S, typename T> T typeOf(T S::*);

/// The part of the effective settings that holds a field.
template <typename T> T &part(EffectiveSettings &values) {
  if constexpr (std::is_same_v<T, ClassPolicy>)
    return values.Class;
  else if constexpr (std::is_same_v<T, DatabasePolicy>)
    return values.Database;
  else
    return values.Tree;
}

std::string rangeError(const SettingSpec &spec, std::string_view text, double value) {
  if (value >= spec.Min && value <= spec.Max)
    return {};
  return "value " + std::string(text) + " of " + std::string(spec.Key) +
         " is out of range: " + formatBound(spec, spec.Min) + " to " + formatBound(spec, spec.Max);
}

std::string unitError(const SettingSpec &spec, std::string_view text, std::string_view wanted) {
  return "value '" + std::string(text) + "' of " + std::string(spec.Key) + " must be " + std::string(wanted);
}

std::string store(const SettingSpec &spec, std::string_view text, AckStrength &out) {
  if (text != "replica" && text != "primary")
    return unitError(spec, text, "replica or primary");
  out = text == "replica" ? AckStrength::Replica : AckStrength::Primary;
  return {};
}

std::string store(const SettingSpec &spec, std::string_view text, Lane &out) {
  if (text != "short" && text != "long")
    return unitError(spec, text, "short or long");
  out = text == "short" ? Lane::Short : Lane::Long;
  return {};
}

std::string store(const SettingSpec &spec, std::string_view text, bool &out) {
  if (text != "true" && text != "false")
    return unitError(spec, text, "true or false");
  out = text == "true";
  return {};
}

std::string store(const SettingSpec &spec, std::string_view text, Duration &out) {
  auto value = parseDuration(text);
  if (!value)
    return unitError(spec, text, "a duration with a unit, such as 30ms or 5s");
  out = *value;
  return rangeError(spec, text, us(*value));
}

std::string store(const SettingSpec &spec, std::string_view text, double &out) {
  auto value = parseNumber(text);
  if (!value)
    return unitError(spec, text, "a number without a unit, such as 0.4");
  out = *value;
  return rangeError(spec, text, *value);
}

std::string store(const SettingSpec &spec, std::string_view text, std::uint32_t &out) {
  auto value = parseCount(text);
  if (!value)
    return unitError(spec, text, "a whole number without a unit, such as 20");
  out = *value;
  return rangeError(spec, text, *value);
}

std::string show(AckStrength value) { return value == AckStrength::Replica ? "replica" : "primary"; }
std::string show(Lane value) { return value == Lane::Short ? "short" : "long"; }
std::string show(bool value) { return value ? "true" : "false"; }
std::string show(Duration value) { return formatDuration(value); }
std::string show(double value) { return formatNumber(value); }
std::string show(std::uint32_t value) { return std::to_string(value); }

} // namespace

std::string_view toString(NodeKind kind) {
  switch (kind) {
  case NodeKind::Root:
    return "root";
  case NodeKind::Group:
    return "group";
  case NodeKind::Service:
    return "service";
  case NodeKind::Class:
    break;
  }
  return "class";
}

std::span<const SettingSpec> schema() { return Table; }

const SettingSpec *findSetting(std::string_view key) {
  const auto *it = std::find_if(Table.begin(), Table.end(), [&](const auto &s) { return s.Key == key; });
  return it == Table.end() ? nullptr : it;
}

std::string_view nearestSetting(std::string_view key) {
  return std::min_element(Table.begin(), Table.end(),
                          [&](const auto &a, const auto &b) {
                            return editDistance(a.Key, key) < editDistance(b.Key, key);
                          })
      ->Key;
}

std::string_view unitName(const SettingSpec &spec) {
  return std::visit(
      [](auto field) -> std::string_view {
        using T = decltype(typeOf(field));
        if constexpr (std::is_same_v<T, AckStrength>)
          return "replica or primary";
        else if constexpr (std::is_same_v<T, Lane>)
          return "short or long";
        else if constexpr (std::is_same_v<T, bool>)
          return "true or false";
        else if constexpr (std::is_same_v<T, Duration>)
          return "duration";
        else if constexpr (std::is_same_v<T, double>)
          return "share";
        else
          return "count";
      },
      spec.Field);
}

std::string schemaRow(const SettingSpec &spec) {
  bool bounded = spec.Max > 0;
  auto range =
      bounded ? formatBound(spec, spec.Min) + " to " + formatBound(spec, spec.Max) : std::string("-");
  std::string nodes = "root";
  for (auto kind : {NodeKind::Group, NodeKind::Service, NodeKind::Class})
    if (kind <= spec.Deepest)
      nodes += ", " + std::string(toString(kind));
  return "| `" + std::string(spec.Key) + "` | " + std::string(spec.Meaning) + " | " +
         std::string(unitName(spec)) + " | " + range + " | " + formatValue(spec, EffectiveSettings{}) +
         " | " + nodes + " |";
}

std::string setValue(const SettingSpec &spec, std::string_view text, EffectiveSettings &out) {
  return std::visit(
      [&](auto field) { return store(spec, text, part<decltype(structOf(field))>(out).*field); }, spec.Field);
}

std::string formatValue(const SettingSpec &spec, const EffectiveSettings &values) {
  auto copy = values;
  return std::visit([&](auto field) { return show(part<decltype(structOf(field))>(copy).*field); },
                    spec.Field);
}

std::string formatBound(const SettingSpec &spec, double bound) {
  if (unitName(spec) == "duration")
    return formatDuration(Duration(static_cast<Duration::rep>(bound)));
  return formatNumber(bound);
}

} // namespace rosemaryhinge

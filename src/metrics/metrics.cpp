// Counters, and summaries with Boost.Accumulators.

#include "metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <set>

namespace rosemaryhinge {

namespace {

namespace acc = boost::accumulators;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Total = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};
/// Upper bounds of the histograms' buckets, in seconds.
constexpr std::array<double, 13> Bounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                           0.25,  0.5,    1,     2.5,  5,     10};
constexpr std::string_view Prefix = "rosemaryhinge_";
constexpr double SecondsPerMicro = 1e-6;

std::string labelled(std::string_view name, std::string_view label, std::string_view value) {
  std::string out(name);
  out.append("{").append(label).append("=\"").append(value).append("\"}");
  return out;
}

/// Metric names allow letters, digits, '_' and ':'. Labels after the name are kept as they are, but on one
/// line.
std::string clean(std::string_view name) {
  std::string out(name);
  bool inLabels = false;
  for (auto &it : out) {
    inLabels = inLabels || it == '{';
    const bool allowed = std::isalnum(static_cast<unsigned char>(it)) || it == '_' || it == ':';
    if ((!inLabels && !allowed) || static_cast<unsigned char>(it) < ' ')
      it = '_';
  }
  return out;
}

std::string number(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.9g", value);
  return buf.data();
}

std::string_view family(std::string_view name) { return name.substr(0, name.find('{')); }

} // namespace

namespace detail {
struct Summary {
  Total Sum;
  std::array<Quantile, Quantiles.size()> Parts = {Quantile(acc::quantile_probability = Quantiles[0]),
                                                  Quantile(acc::quantile_probability = Quantiles[1]),
                                                  Quantile(acc::quantile_probability = Quantiles[2])};
  std::array<std::uint64_t, Bounds.size()> Within{}; ///< Values up to each bound.

  void add(double value) {
    Sum(value);
    for (std::size_t n = 0; n < Bounds.size(); ++n)
      Within.at(n) += value <= Bounds.at(n) ? 1 : 0;
    for (auto &it : Parts)
      it(value);
  }
};
} // namespace detail

Metrics::Metrics() {
  for (std::size_t n = 0; n < RefusalReasonCount; ++n)
    Counters[labelled("refusals_total", "reason", toString(static_cast<RefusalReason>(n)))] = 0;
  for (std::size_t n = 0; n < RetryReasonCount; ++n)
    Counters[labelled("retries_total", "reason", toString(static_cast<RetryReason>(n)))] = 0;
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, double value) {
  if (auto it = Counters.find(name); it != Counters.end()) {
    it->second += value;
    return;
  }
  if (Counters.size() >= MaxNames)
    Dropped += 1;
  else
    Counters[clean(name)] += value;
}

void Metrics::observe(std::string_view name, Duration value) {
  auto it = Summaries.find(name);
  if (it == Summaries.end()) {
    if (Summaries.size() >= MaxNames) {
      Dropped += 1;
      return;
    }
    it = Summaries.try_emplace(clean(name), std::make_unique<detail::Summary>()).first;
  }
  it->second->add(static_cast<double>(value.count()) * SecondsPerMicro);
}

void Metrics::countRefusal(RefusalReason reason) {
  count(labelled("refusals_total", "reason", toString(reason)));
}

void Metrics::countRetry(RetryReason reason) { count(labelled("retries_total", "reason", toString(reason))); }

double Metrics::value(std::string_view name) const {
  const auto it = Counters.find(name);
  return it == Counters.end() ? 0 : it->second;
}

std::string Metrics::text() const {
  std::string out;
  const auto line = [&out](std::string_view name, double value) {
    out.append(Prefix).append(name).append(" ").append(number(value)).append("\n");
  };
  const auto head = [&out](std::string_view name, std::string_view type) {
    out.append("# TYPE ").append(Prefix).append(name).append(" ").append(type).append("\n");
  };
  // The names of one family need not be neighbours in the map: '{' sorts after letters.
  std::map<std::string_view, std::vector<const std::pair<const std::string, double> *>> families;
  for (const auto &it : Counters)
    families[family(it.first)].push_back(&it);
  for (const auto &[name, members] : families) {
    head(name, "counter");
    for (const auto *it : members)
      line(it->first, it->second);
  }
  for (const auto &[name, summary] : Summaries) {
    head(name, "summary");
    const auto count = acc::count(summary->Sum);
    for (std::size_t n = 0; n < Quantiles.size() && count > 0; ++n)
      line(labelled(name, "quantile", number(Quantiles.at(n))), acc::p_square_quantile(summary->Parts.at(n)));
    line(name + "_sum", acc::sum(summary->Sum));
    line(name + "_count", static_cast<double>(count));
    // A family has one type, so the buckets stand under a name of their own.
    const auto histogram = name + "_histogram";
    head(histogram, "histogram");
    for (std::size_t n = 0; n < Bounds.size(); ++n)
      line(labelled(histogram + "_bucket", "le", number(Bounds.at(n))),
           static_cast<double>(summary->Within.at(n)));
    line(labelled(histogram + "_bucket", "le", "+Inf"), static_cast<double>(count));
    line(histogram + "_sum", acc::sum(summary->Sum));
    line(histogram + "_count", static_cast<double>(count));
  }
  head("metrics_dropped_total", "counter");
  line("metrics_dropped_total", Dropped);
  return out;
}

} // namespace rosemaryhinge

// Text forms of durations and numbers in settings.

#include "settings/valuetext.h"

#include "base/wholenumber.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace rosemaryhinge {

namespace {

struct Unit {
  std::string_view Name;
  Duration::rep Micros;
};
/// Largest first, so that formatting picks the largest unit that fits.
constexpr std::array Units = {Unit{"h", 3'600'000'000}, Unit{"min", 60'000'000}, Unit{"s", 1'000'000},
                              Unit{"ms", 1'000}, Unit{"us", 1}};

} // namespace

std::optional<Duration> parseDuration(std::string_view text) {
  Duration::rep count = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (ec != std::errc{} || count < 0)
    return std::nullopt;
  auto name = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto &unit : Units)
    if (unit.Name == name && count <= std::numeric_limits<Duration::rep>::max() / unit.Micros)
      return Duration(count * unit.Micros);
  return std::nullopt;
}

std::string formatDuration(Duration value) {
  if (value == Duration::zero())
    return "0s";
  for (const auto &unit : Units)
    if (value.count() % unit.Micros == 0)
      return std::to_string(value.count() / unit.Micros) + std::string(unit.Name);
  return std::to_string(value.count()) + "us";
}

std::optional<double> parseNumber(std::string_view text) {
  double value = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::optional<std::uint32_t> parseCount(std::string_view text) {
  return parseWholeNumber<std::uint32_t>(text);
}

std::string formatNumber(double value) {
  std::array<char, 32> buf{};
  auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return ec == std::errc{} ? std::string(buf.data(), end) : std::string("0");
}

} // namespace rosemaryhinge

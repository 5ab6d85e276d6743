// Decodes JSON texts up to a depth of nesting.

#include "json/jsonparse.h"

#include "json/jsonpieces.h"

#include <stdexcept>

namespace rosemaryhinge {

nlohmann::json parseJson(std::string_view text) {
  if (isNestedDeeper(text, MaxJsonDepth))
    throw std::runtime_error("nested deeper than " + std::to_string(MaxJsonDepth) + " levels");
  return nlohmann::json::parse(text);
}

nlohmann::json tryParseJson(std::string_view text) {
  if (isNestedDeeper(text, MaxJsonDepth))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::parse(text, nullptr, false);
}

} // namespace rosemaryhinge

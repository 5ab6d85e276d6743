// Log fields that tell which configuration a decision used, and how old and from where it was.

#pragma once

#include "catalog/catalog.h"
#include "protocol/effect.h"
#include "protocol/storerevision.h"

#include <string>

namespace rosemaryhinge::detail {

inline void addConfiguration(Log &line, const Catalog &catalog, TimePoint now) {
  const auto &[from, revision, confirmedAt] = catalog.configurationSource();
  auto &out = line.Fields;
  out.push_back({"configuration", std::to_string(catalog.configuration().Version)});
  out.push_back({"configuration_revision", std::to_string(storeNumber(revision))});
  out.push_back({"confirmed_ms_ago", std::to_string((now - confirmedAt) / 1ms)});
  out.push_back({"told_by", from.empty() ? "store" : from.str()});
}

} // namespace rosemaryhinge::detail

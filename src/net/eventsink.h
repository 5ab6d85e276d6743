// How adapters hand events to the loop that feeds the reducer.

#pragma once

#include "protocol/event.h"

#include <functional>

namespace rosemaryhinge {

/// Takes an event into the loop's queue. Never runs the reducer itself, so adapters may call it from within
/// an effect.
using EventSink = std::function<void(Event)>;

} // namespace rosemaryhinge

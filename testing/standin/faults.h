// Faults by name, as POST /faults/{name} and the timed script switch them.

#pragma once

#include <string>

namespace rosemaryhinge::standin {

class World;

/// Carries out one fault. Arguments are JSON. Returns what is wrong with them, empty if nothing.
std::string applyFault(World &world, const std::string &name, const std::string &arguments);

} // namespace rosemaryhinge::standin

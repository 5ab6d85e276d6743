// Combines several lambdas into one visitor for std::visit.

#pragma once

namespace rosemaryhinge {

template <typename... Fs> struct Overloaded : Fs... { using Fs::operator()...; };
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace rosemaryhinge

// Replaces operator new and delete by versions that count the bytes in use.

#include "request/bench/allocations.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {
std::size_t Held = 0;
}

namespace rosemaryhinge::bench {
std::size_t bytesHeld() { return Held; }
} // namespace rosemaryhinge::bench

void *operator new(std::size_t size) {
  void *out = std::malloc(size);
  if (out == nullptr)
    throw std::bad_alloc();
  Held += malloc_usable_size(out);
  return out;
}

void operator delete(void *memory) noexcept {
  if (memory == nullptr)
    return;
  Held -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept { operator delete(memory); }

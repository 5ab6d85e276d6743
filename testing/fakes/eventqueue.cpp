// Queue of due actions as a binary heap.

#include "fakes/eventqueue.h"

#include <algorithm>

namespace rosemaryhinge::fakes {

void EventQueue::at(TimePoint time, Action action) {
  Heap.push_back({std::max(time, Now), NextOrder++, std::move(action)});
  std::push_heap(Heap.begin(), Heap.end(), later);
}

void EventQueue::runUntil(TimePoint time) {
  while (!Heap.empty() && Heap.front().At <= time) {
    std::pop_heap(Heap.begin(), Heap.end(), later);
    auto item = std::move(Heap.back());
    Heap.pop_back();
    Now = item.At;
    ++Steps;
    item.Run();
  }
  Now = std::max(Now, time);
}

} // namespace rosemaryhinge::fakes

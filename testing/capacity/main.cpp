// rosemaryhinge-capacity: what control costs one node, from several sizes up to the one to design for.

#include "capacity/connections.h"
#include "capacity/fit.h"
#include "capacity/node.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>
#include <vector>

namespace {

using namespace rosemaryhinge;
using namespace rosemaryhinge::capacity;

/// The ratio of databases to members is that of the size to design for, but for the smallest.
constexpr std::array<Size, 5> Sizes = {{{6, 3}, {100, 371}, {500, 1857}, {1500, 5571}, {3500, 13000}}};
constexpr Duration Length = 60s;
constexpr std::size_t FitPoints = 4; ///< The last size checks the line through the others.

using Points = std::vector<std::pair<double, double>>;

void printFit(const char *name, const Points &points) {
  const Points first(points.begin(), points.begin() + FitPoints);
  const auto fit = fitLine(first);
  const auto &[x, y] = points.back();
  std::printf(R"({"fit":"%s","base":%.6g,"per_node":%.6g,"error":%.3f,"predicted_at_3500":%.6g,)"
              R"("measured_at_3500":%.6g})"
              "\n",
              name, fit.Base, fit.Slope, fit.Error, fit.Base + fit.Slope * x, y);
}

int control() {
  Points cpu;
  Points heap;
  Points bytes;
  for (const auto &size : Sizes) {
    Node node(size);
    node.start();
    const auto load = node.measure(Length);
    const auto x = static_cast<double>(size.Members);
    cpu.emplace_back(x, load.CpuShare * 100);
    heap.emplace_back(x, load.HeapMb);
    bytes.emplace_back(x, load.PeerBytes);
    std::printf(
        R"({"nodes":%zu,"databases":%zu,"looked_after":%zu,"servers_with_slot":%zu,"cpu_percent":%.3f,)"
        R"("heap_mb":%.2f,"peer_bytes_s":%.0f,"status_queries_s":%.1f,"store_reads_s":%.3f,)"
        R"("store_writes_s":%.3f})"
        "\n",
        size.Members, size.Databases, load.LookedAfter, load.Slots, load.CpuShare * 100, load.HeapMb,
        load.PeerBytes, load.StatusQueries, load.StoreReads, load.StoreWrites);
    std::fflush(stdout);
  }
  printFit("cpu_percent", cpu);
  printFit("heap_mb", heap);
  printFit("peer_bytes_s", bytes);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc == 4 && std::strcmp(argv[1], "--hold") == 0)
    return holdConnections(argv[2], std::atoi(argv[3])) ? 0 : 1;
  if (argc != 1) {
    std::fprintf(stderr, "usage: rosemaryhinge-capacity [--hold IP:PORT COUNT]\n");
    return 2;
  }
  return control();
}

// The number of seeds that a randomised test plays: few in CI, many in a long run by hand.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace marblevale::testing {

/// `seeds_in_ci`, unless MARBLEVALE_SOAK_SEEDS sets another number for a long run by hand.
inline std::uint64_t soak_seeds(std::uint64_t seeds_in_ci) {
  // NOLINTNEXTLINE(concurrency-mt-unsafe): the tests have one thread.
  const char* seeds = std::getenv("MARBLEVALE_SOAK_SEEDS");
  return seeds == nullptr ? seeds_in_ci : std::strtoull(seeds, nullptr, 10);
}

}  // namespace marblevale::testing

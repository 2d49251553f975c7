/// What every part of a shard holder works with. `Service` owns all of it and outlives the holder.
#pragma once

#include "cancellations/cancellations.hpp"
#include "config/settings.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

struct ShardContext {
  Metrics& metrics;
  const Clock& clock;
  const Settings& settings;
  WatchCache& cache;
  Cancellations& cancellations;
};

}  // namespace marblevale

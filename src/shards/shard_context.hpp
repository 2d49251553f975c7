/// Dependencies that all parts of a shard holder share. `Service` owns the referenced objects,
/// which outlive the holder.
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

// What every part of a block holder works with. The service owns all of it and outlives the holder.
#pragma once

#include "app/settings.hpp"
#include "cancellations/cancellations.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

struct BlockContext {
  Metrics& metrics;
  const Clock& clock;
  const Settings& settings;
  WatchCache& cache;
  Cancellations& cancellations;
};

}  // namespace marblevale

/// Delays for which changes wait for other changes that can share their commit. The state service's
/// write budget is small, so the delays depend on the unused share of it.
#pragma once

#include "core/time.hpp"

namespace marblevale {

/// Unused share of the write budget above which no change needs to wait.
inline constexpr double kAmpleWriteSlack = 0.5;
/// Delays for changes of machines in one page, with ample slack and without.
inline constexpr Duration kShortMachineBatchDelay{30};
inline constexpr Duration kMachineBatchDelay{1'000};
/// Delays for changes of a slice's tasks without ample slack: for ends of tasks, and for starts of
/// runs.
inline constexpr Duration kTaskEndBatchDelay{8'000};
inline constexpr Duration kRunningBatchDelay{60'000};

}  // namespace marblevale

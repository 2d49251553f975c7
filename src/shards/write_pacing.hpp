// How long changes wait for others that can share their commit. The state service's budget for
// writes is small, so the delays depend on how much of it is to spare.
#pragma once

#include "core/time.hpp"

namespace marblevale {

/// Share of the write budget to spare above which nothing needs to wait.
inline constexpr double kAmpleWriteSlack = 0.5;
/// Changes of machines of one page, with ample slack and without.
inline constexpr Duration kShortMachineBatchDelay{30};
inline constexpr Duration kMachineBatchDelay{1'000};
/// Changes of a slice's tasks, without ample slack.
inline constexpr Duration kTaskEndBatchDelay{8'000};
inline constexpr Duration kRunningBatchDelay{60'000};

}  // namespace marblevale

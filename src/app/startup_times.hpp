// How long after the start of this process it first served a user, bound a task, and completed the
// set of held shards: what an outage of all controllers costs, readable from the log.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Reached once in a process, or never.
enum class StartupMilestone { user_answered, task_bound, last_shard_held };
inline constexpr std::size_t kStartupMilestoneCount = 3;

/// Logs each milestone when it is reached. It learns of bindings and of shards from the watched
/// records, of answers from whoever gives them.
class StartupTimes {
 public:
  StartupTimes(const Clock& clock, const Settings& settings, WatchCache& cache,
               ProcessIncarnation incarnation);

  /// An answer was given to a user; one with a server error reaches nothing.
  void on_user_answered(int status);
  /// Time from the start of this process; absent until the milestone is reached.
  [[nodiscard]] std::optional<Duration> time_to(StartupMilestone milestone) const;

 private:
  /// Logs the milestone, with `details`, unless it was reached before.
  void record_milestone(StartupMilestone milestone, const std::string& details = "");
  void on_slice_changed(const std::string& key);
  void on_shard_changed(const ZoneId& zone);
  [[nodiscard]] bool held_by_this_process(const ZoneId& zone) const;
  [[nodiscard]] bool all_shards_held() const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  const ProcessIncarnation incarnation_;
  const SteadyTime started_at_;
  const WallTime started_at_wall_;
  std::array<std::optional<Duration>, kStartupMilestoneCount> milestone_times_;
};

}  // namespace marblevale

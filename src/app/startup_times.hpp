// Measures the time from the start of this process until it first answers a user, first binds a
// task, and takes the shard after which every shard has a live holder. Operators read from the log
// how long the recovery from an outage of all controllers took.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// Each milestone is reached at most once in a process. `last_shard_held` is
/// reached when a shard that this process holds has changed and every shard has a live holder.
enum class StartupMilestone { user_answered, task_bound, last_shard_held };
inline constexpr std::size_t kStartupMilestoneCount = 3;

/// Logs each milestone when it is reached. Observes task bindings and shard holders in the watched
/// records. The router reports answers to users by `on_user_answered`.
class StartupTimes {
 public:
  StartupTimes(const Clock& clock, const Settings& settings, WatchCache& cache,
               ProcessIncarnation incarnation);

  /// Called for each answer to a user. A server error (status 500 and above) reaches no milestone.
  void on_user_answered(int status);
  /// Time from the start of this process to the milestone; absent until the milestone is reached.
  [[nodiscard]] std::optional<Duration> time_to(StartupMilestone milestone) const;

 private:
  /// Records the time of the milestone and logs it with `details`, unless it was reached before.
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

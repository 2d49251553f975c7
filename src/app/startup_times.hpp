// How long after this process began it first served a user, bound a task, and completed the set of
// leased shards: what a silence of all controllers costs, readable from the log.
#pragma once

#include <array>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// What is timed, once in a process.
enum class StartupMilestone { user_answered, task_bound, last_shard_held };

class StartupTimes {
 public:
  StartupTimes(const Clock& clock, const Settings& settings, WatchCache& cache,
               ProcessIncarnation incarnation);

  /// A user was told something else than to come back.
  void user_answered(int status);
  /// Time from the start of this process; nothing before it is reached.
  [[nodiscard]] std::optional<Duration> after(StartupMilestone milestone) const;

 private:
  void reach(StartupMilestone milestone, const std::string& what);
  void slice_changed(const std::string& key);
  void shard_changed(const ZoneId& zone);
  [[nodiscard]] bool held_here(const ZoneId& zone) const;
  [[nodiscard]] bool all_shards_held() const;

  const Clock& clock_;
  const Settings& settings_;
  WatchCache& cache_;
  const ProcessIncarnation incarnation_;
  const SteadyTime began_;
  const WallTime began_wall_;
  std::array<std::optional<Duration>, 3> reached_;
};

}  // namespace marblevale

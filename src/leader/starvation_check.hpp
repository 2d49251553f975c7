/// The leader's periodic check for starvation: jobs that wait although a machine has capacity for
/// them.
///
/// `find_starved` finds these jobs from the records alone. Each job is logged with the cause of its
/// wait. When the records show no cause, the planner's profile must be wrong, and the leader
/// rebuilds it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "leader/releaser.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/starvation.hpp"

namespace marblevale {

/// Tracks since when each job has been starved. A job is reported only after a later check has
/// confirmed the finding.
class StarvationCheck {
 public:
  StarvationCheck(const Clock& clock, const Settings& settings, const WatchCache& cache,
                  const Releaser& releaser);

  /// Discards the findings of earlier terms.
  void begin_term() { findings_.clear(); }
  /// True when the last check was long enough ago.
  [[nodiscard]] bool due() const;
  /// Logs the starved jobs. Returns true when a job waits for no reason that the records show,
  /// because the planner's profile must then be wrong.
  bool run(const Planner& planner, const Reservations& reservations,
           const std::set<ZoneId>& unreachable_zones);

 private:
  /// Why a job waits.
  struct Cause {
    std::string text;
    /// True when the records show no reason, so the planner's profile must be wrong.
    bool profile_is_wrong = false;
  };
  struct Finding {
    SteadyTime first_found_at;
    SteadyTime last_logged_at;
  };
  /// Inputs of one check, in addition to the records.
  struct Round {
    const Planner& planner;
    const Reservations& reservations;
    const std::set<ZoneId>& unreachable_zones;
  };
  [[nodiscard]] Cause explain(const StarvedJob& job, const Round& round) const;
  [[nodiscard]] std::optional<Cause> find_unsettled_release(const StarvedJob& job) const;
  [[nodiscard]] Cause explain_by_profile(const StarvedJob& job, const QueueItem& item,
                                         const Round& round) const;

  const Clock& clock_;
  const Settings& settings_;
  const WatchCache& cache_;
  const Releaser& releaser_;
  SteadyTime last_run_{};
  std::map<JobId, Finding> findings_;
};

}  // namespace marblevale

/// The leader's regular check for starvation: jobs that wait although a machine has room for them.
///
/// `find_starved` finds them by the records alone. Each is logged with what keeps it waiting. Where
/// the records show no reason, the planner's profile must be wrong, and the leader rebuilds it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "leader/releaser.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/starvation.hpp"

namespace marblevale {

/// Remembers how long each job has been found starved: one is reported only once that is confirmed.
class StarvationCheck {
 public:
  StarvationCheck(const Clock& clock, const Settings& settings, const WatchCache& cache,
                  const Releaser& releaser);

  /// Forgets what an earlier term has found.
  void begin_term() { findings_.clear(); }
  /// True when the last check was long enough ago.
  [[nodiscard]] bool due() const;
  /// True when a job waits for no reason that the records show: the profile has gone wrong.
  bool run(const Planner& planner, const Reservations& reservations,
           const std::set<ZoneId>& unreachable_zones);

 private:
  /// What keeps a job waiting.
  struct Cause {
    std::string text;
    /// The cause lies in the planner's profile: the records show no reason.
    bool profile_is_wrong = false;
  };
  struct Finding {
    SteadyTime first_found_at;
    SteadyTime last_logged_at;
  };
  /// What the check looks at, beside the records.
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

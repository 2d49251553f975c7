// The leader's regular look for jobs that wait beside a machine that fits: logs each with its
// cause, and tells whether the profile is what keeps it waiting.
#pragma once

#include <map>
#include <set>
#include <string>

#include "leader/releaser.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/starvation.hpp"

namespace marblevale {

class StarvationCheck {
 public:
  StarvationCheck(const Clock& clock, const Settings& settings, const WatchCache& cache,
                  const Releaser& releaser);

  void begin_term() { waiting_.clear(); }
  [[nodiscard]] bool due() const;
  /// True when a job waits for no reason that the records show: the profile has gone wrong.
  bool run(const Planner& planner, const Reservations& reservations,
           const std::set<ZoneId>& unreachable_zones);

 private:
  struct Cause {
    std::string what;
    bool profile_is_wrong = false;  // what is said is no reason by the records
  };
  struct Since {
    SteadyTime first;
    SteadyTime last_logged_at;
  };
  /// What the check looks at, beside the records.
  struct Round {
    const Planner& planner;
    const Reservations& reservations;
    const std::set<ZoneId>& unreachable_zones;
  };
  [[nodiscard]] Cause explain(const StarvedJob& job, const Round& round) const;
  [[nodiscard]] std::optional<Cause> unsettled_release(const StarvedJob& job) const;
  [[nodiscard]] Cause explain_by_profile(const StarvedJob& job, const QueueItem& item,
                                         const Round& round) const;

  const Clock& clock_;
  const Settings& settings_;
  const WatchCache& cache_;
  const Releaser& releaser_;
  SteadyTime last_run_{};
  std::map<JobId, Since> waiting_;
};

}  // namespace marblevale

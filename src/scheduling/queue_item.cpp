#include "scheduling/queue_item.hpp"

#include <algorithm>

namespace marblevale {

namespace {

/// An overdue job ranks at least with the standard jobs, so that jobs of low urgency don't starve.
/// Preemption still uses the job's own urgency.
Urgency effective_urgency(const QueueItem& item) {
  const Urgency urgency = item.demand.job->urgency;
  return item.overdue ? std::max(urgency, Urgency::standard) : urgency;
}

}  // namespace

bool has_higher_priority(const QueueItem& a, const QueueItem& b) {
  const Urgency urgency_of_a = effective_urgency(a);
  const Urgency urgency_of_b = effective_urgency(b);
  if (urgency_of_a != urgency_of_b) return urgency_of_a > urgency_of_b;
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if (a.overdue != b.overdue) return a.overdue;
  if (a.overdue && a.accepted != b.accepted) return a.accepted < b.accepted;
  // A team without a guarantee gets the capacity that other teams leave. Otherwise its idle-only
  // work would fill the cluster before the arrays of guaranteed teams, which have the same urgency.
  if (a.team_has_guarantee != b.team_has_guarantee) return a.team_has_guarantee;
  if (a.objectives_missed != b.objectives_missed) return b.objectives_missed;
  if (a.target != b.target) {
    // A job without an objective ranks after jobs that can still meet theirs.
    if (!a.target || !b.target) return a.target.has_value();
    return *a.target < *b.target;
  }
  if (a.demand.run != b.demand.run) return a.demand.run < b.demand.run;
  if (a.accepted != b.accepted) return a.accepted < b.accepted;
  return a.job_id < b.job_id;
}

}  // namespace marblevale

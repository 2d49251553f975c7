/// Delayed Compression backfilling: reservations for every job, the arrival step and compression.
/// Pure: decisions depend only on the profile, the queue, the kept reservations and failed starts,
/// the time and the budget. A round has a budget; the next round continues where it ran out.
#pragma once

#include <functional>
#include <vector>

#include "scheduling/arrival_step.hpp"
#include "scheduling/compression.hpp"
#include "scheduling/planning_round.hpp"
#include "scheduling/reservation_restore.hpp"

namespace marblevale {

/// A waiting job and the plan that it would get. Without a plan, no machine can take the job.
struct ForecastEntry {
  const QueueItem* item = nullptr;
  std::optional<Plan> plan;
};

/// Plans one round: `restore`, `admit_arrivals` and `compress`, in this order.
class Planner {
 public:
  /// `budget_spent(share)` returns true when that share (0 to 1) of the round's budget is used up.
  /// `reservations` and `failed_starts` are kept by the caller from round to round, belong to this
  /// profile, and must outlive the planner.
  Planner(Profile profile, std::vector<QueueItem> queue, Reservations& reservations,
          FailedStarts& failed_starts, WallTime now, std::function<bool(double)> budget_spent);

  /// Puts the reservations into the profile, those on pinned machines first. A reservation that no
  /// longer fits (a task overran, a machine was lost) is placed again. Returns the reservations
  /// that this delays. Reservations that the budget does not reach keep their places until the next
  /// round.
  std::vector<ReservationDelay> restore(const PinnedMachines& pins = {});

  /// Runs the arrival step for jobs without a reservation. Returns false when the budget was used
  /// up before all had one.
  bool admit_arrivals();

  /// Starts the jobs that can run now, by priority, and returns these starts. After each start that
  /// frees capacity, the pass returns to the first job in the queue that could use it. `cursor` is
  /// the queue position at which the last round stopped; it becomes 0 when the whole queue was
  /// tried.
  std::vector<JobStart> compress(std::size_t& cursor);

  /// Returns the plans that the queue's first `max_jobs` jobs would get if all jobs were placed
  /// again by priority. Works on a copy of the profile.
  [[nodiscard]] std::vector<ForecastEntry> forecast(std::size_t max_jobs) const;

  /// Ends the round and returns the profile, with the reservations, for the next round.
  Profile take_profile();

  [[nodiscard]] const Profile& profile() const { return round_.profile; }
  [[nodiscard]] const std::vector<QueueItem>& queue() const { return round_.queue; }

 private:
  PlanningRound round_;
  std::vector<Owner> started_owners_;
};

}  // namespace marblevale

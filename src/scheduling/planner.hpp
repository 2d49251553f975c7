/// Delayed Compression backfilling: reservations for every job, the arrival step and compression. A
/// pure function of profile, queue and time. A round has a budget, and the next one goes on where
/// it stopped.
#pragma once

#include <functional>
#include <vector>

#include "scheduling/arrival_step.hpp"
#include "scheduling/compression.hpp"
#include "scheduling/planning_round.hpp"
#include "scheduling/reservation_restore.hpp"

namespace marblevale {

/// A waiting job and the plan that it would get; no plan: no machine can take it.
struct ForecastEntry {
  const QueueItem* item = nullptr;
  std::optional<Plan> plan;
};

/// Plans one round: `restore`, `admit_arrivals` and `compress`, in this order.
class Planner {
 public:
  /// `budget_spent` tells whether a share of the round's budget is used up. `reservations` and
  /// `failed_starts` are kept from round to round; they belong to this profile.
  Planner(Profile profile, std::vector<QueueItem> queue, Reservations& reservations,
          FailedStarts& failed_starts, WallTime now, std::function<bool(double)> budget_spent);

  /// Puts the reservations into the profile, those on pinned machines first. One that no longer
  /// fits (a task overran, a machine was lost) is placed again, and returned if that delays it.
  /// What the budget leaves keeps its place until the next round.
  std::vector<ReservationDelay> restore(const PinnedMachines& pins = {});

  /// The arrival step for jobs without a reservation. False: the budget was used up.
  bool admit_arrivals();

  /// Starts what can run now, by priority, going back to the queue's front after each move.
  /// `cursor` is where the last round stopped; it becomes 0 when the round is complete.
  std::vector<JobStart> compress(std::size_t& cursor);

  /// What the queue's first `max_jobs` jobs would get if all were placed anew, by priority. Nothing
  /// is changed by asking.
  [[nodiscard]] std::vector<ForecastEntry> forecast(std::size_t max_jobs) const;

  /// Ends the round: the profile with the reservations, for the next one.
  Profile take_profile();

  [[nodiscard]] const Profile& profile() const { return round_.profile; }
  [[nodiscard]] const std::vector<QueueItem>& queue() const { return round_.queue; }

 private:
  PlanningRound round_;
  std::vector<Owner> started_owners_;
};

}  // namespace marblevale

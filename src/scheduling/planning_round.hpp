/// The state that the steps of one planning round share, and the operations on reservations that
/// they have in common. Pure: time and budget are passed in.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "scheduling/failed_starts.hpp"
#include "scheduling/profile.hpp"
#include "scheduling/queue_item.hpp"
#include "scheduling/reservation.hpp"

namespace marblevale {

/// A queue of up to this many jobs is short, so that costly work per job can be done for all jobs.
inline constexpr std::size_t kShortQueue = 60;

/// One round's profile, queue and reservations.
struct PlanningRound {
  Profile profile;
  std::vector<QueueItem> queue;  // by priority
  Reservations& reservations;
  FailedStarts& failed_starts;
  WallTime now;
  /// Returns true when this share (0 to 1) of the round's budget is used up.
  std::function<bool(double)> budget_spent;

  /// Returns the reservation as a plan on the profile's machines. Empty when one of its machines is
  /// gone.
  [[nodiscard]] Plan plan_of(const Reservation& reservation) const;
  /// True when the plan fits into the profile and its zones are allowed beside the zones of the
  /// job's placed tasks.
  [[nodiscard]] bool still_fits(const Plan& plan, const Demand& demand) const;
  /// True when the reservation still fits in the profile, does not start before now, and covers all
  /// tasks of the demand.
  [[nodiscard]] bool is_valid(const Reservation& reservation, const QueueItem& item) const;
  /// The earliest plan for the job from now on.
  [[nodiscard]] std::optional<Plan> earliest_plan(const QueueItem& item) const {
    return profile.earliest(item.demand, now);
  }

  /// Makes the plan the job's reservation and allocates it. Earlier allocations of the job must
  /// have been released.
  void reserve(const QueueItem& item, const Plan& plan);
  /// Grants a distant start, without places, to a job that no machine can take yet.
  void reserve_unplaced(const QueueItem& item);
  /// Calls `reserve` with the plan, or `reserve_unplaced` if there is none.
  void reserve_if_placed(const QueueItem& item, const std::optional<Plan>& plan);
  /// Allocates the job's reservation in the profile, unchanged.
  void reapply_reservation(const QueueItem& item);

 private:
  [[nodiscard]] bool satisfies_zone_constraints(const Reservation& reservation,
                                                const Demand& demand) const;
};

}  // namespace marblevale

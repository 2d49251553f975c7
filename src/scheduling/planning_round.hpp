/// The state that the steps of one planning round share, and what they all do to reservations.
/// Pure: time and budget are given.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "scheduling/failed_starts.hpp"
#include "scheduling/profile.hpp"
#include "scheduling/queue_item.hpp"
#include "scheduling/reservation.hpp"

namespace marblevale {

/// A queue of up to this many jobs is short: whatever costs time per job can be done for all.
inline constexpr std::size_t kShortQueue = 60;

/// One round's profile, queue and reservations.
struct PlanningRound {
  Profile profile;
  std::vector<QueueItem> queue;  // by priority
  Reservations& reservations;
  FailedStarts& failed_starts;
  WallTime now;
  /// True when this share of the round's budget is used up.
  std::function<bool(double)> budget_spent;

  /// The reservation as a plan over the profile's machines. Empty when one of them is gone.
  [[nodiscard]] Plan plan_of(const Reservation& reservation) const;
  /// The plan fits into the profile, and its zones go together with those of the job's tasks that
  /// are placed already.
  [[nodiscard]] bool still_fits(const Plan& plan, const Demand& demand) const;
  /// The reservation stands in the profile as it is, in time, and for all tasks of the demand.
  [[nodiscard]] bool is_valid(const Reservation& reservation, const QueueItem& item) const;
  /// The earliest plan for the job from now on.
  [[nodiscard]] std::optional<Plan> earliest_plan(const QueueItem& item) const {
    return profile.earliest(item.demand, now);
  }

  /// Makes the plan the job's reservation. What the job had allocated before is released already.
  void reserve(const QueueItem& item, const Plan& plan);
  /// Grants a distant start to a job that no machine can take yet.
  void reserve_unplaced(const QueueItem& item);
  /// `reserve`, or `reserve_unplaced` without a plan.
  void reserve_if_placed(const QueueItem& item, const std::optional<Plan>& plan);
  /// Puts the job's reservation into the profile as it stands.
  void reapply_reservation(const QueueItem& item);

 private:
  [[nodiscard]] bool satisfies_zone_constraints(const Reservation& reservation,
                                                const Demand& demand) const;
};

}  // namespace marblevale

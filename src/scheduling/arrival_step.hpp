/// The arrival step of Delayed Compression (section 2.2 of the paper): gives a reservation to every
/// job that has none.
#pragma once

#include "scheduling/planning_round.hpp"

namespace marblevale {

/// Admits the new jobs of one round, in the order of their acceptance.
class ArrivalStep {
 public:
  explicit ArrivalStep(PlanningRound& round) : round_(round) {}
  /// Returns false when the budget was used up before all jobs had a reservation.
  bool run();

 private:
  /// How many jobs of higher priority may be tried at an earlier start for each new job.
  [[nodiscard]] std::size_t max_move_attempts() const;
  void admit(const QueueItem& item, std::size_t max_move_attempts);
  /// Moves jobs of higher priority that the new job could delay to an earlier start. Returns
  /// whether any job was moved.
  bool move_earlier(const QueueItem& new_item, WallTime end_of_new_item,
                    std::size_t max_move_attempts);
  /// Moves the job if it can start before both `latest_start` and its reserved start. Returns
  /// whether it was moved.
  bool move_earlier(const QueueItem& item, const Reservation& reservation, WallTime latest_start);

  PlanningRound& round_;
};

}  // namespace marblevale

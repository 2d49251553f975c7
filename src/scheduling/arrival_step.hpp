/// The arrival step of Delayed Compression (section 2.2 of the paper): every job that has no
/// reservation gets one.
#pragma once

#include "scheduling/planning_round.hpp"

namespace marblevale {

/// Admits the new jobs of one round, by acceptance.
class ArrivalStep {
 public:
  explicit ArrivalStep(PlanningRound& round) : round_(round) {}
  /// False: the budget was used up before all had a reservation.
  bool run();

 private:
  /// How many of the jobs before a new one may be tried at an earlier place.
  [[nodiscard]] std::size_t max_move_attempts() const;
  void admit(const QueueItem& item, std::size_t max_move_attempts);
  /// Moves jobs of higher priority that the new one could delay to an earlier start. False: none
  /// was moved.
  bool move_earlier(const QueueItem& new_item, WallTime end_of_new_item,
                    std::size_t max_move_attempts);
  /// False: no place before `latest_start` was found that is earlier than the job's own.
  bool move_earlier(const QueueItem& item, const Reservation& reservation, WallTime latest_start);

  PlanningRound& round_;
};

}  // namespace marblevale

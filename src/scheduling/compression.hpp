/// Compression (sections 2.1 and 2.2 of the paper): starts the jobs that can run now, by priority.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/planning_round.hpp"

namespace marblevale {

/// Tasks of a job that start now.
struct JobStart {
  JobId job_id;
  Plan plan;  // placements for the first plan.placements.size() of the item's tasks
  std::vector<std::uint32_t> task_indices;  // as many as placements
};

/// One pass over the queue. After each start the pass returns to the first job that could use the
/// capacity that the start freed.
class Compression {
 public:
  explicit Compression(PlanningRound& round)
      : round_(round), states_(round.queue.size(), JobState::pending) {}
  /// Begins at the queue position `cursor`. Sets `cursor` to the position at which the budget ran
  /// out, or to 0 when the whole queue was tried.
  std::vector<JobStart> run(std::size_t& cursor);
  /// The owners under which the started tasks are allocated in the profile.
  [[nodiscard]] const std::vector<Owner>& started_owners() const { return started_owners_; }

 private:
  enum class JobState {
    pending,  // not tried yet
    blocked,  // tried and not started; no capacity that it could use was freed since
    settled   // started, or running tasks leave no room, which moved reservations can't change
  };
  [[nodiscard]] bool may_start(std::size_t position) const;
  /// Returns a plan with which the job can start now. Expects that the job's own reservation has
  /// been released.
  [[nodiscard]] std::optional<Plan> plan_start(const QueueItem& item);
  [[nodiscard]] std::optional<Plan> plan_due_reservation(const QueueItem& item) const;
  /// Plans a service job over reservations of lower urgency. A service job has no end and so never
  /// fits before a reservation; it may start where no task runs if all reservations in its way are
  /// of lower urgency. These reservations are released, and the next round places them again.
  [[nodiscard]] std::optional<Plan> displace_reservations(const QueueItem& item);
  /// The queued jobs, other than `except`, that have a reserved place on one of the plan's
  /// machines.
  [[nodiscard]] std::vector<const QueueItem*> reserved_on(const Plan& plan,
                                                          const JobId& except) const;
  /// Tries to start the job at the position. Returns the position to try next.
  std::size_t try_start(std::size_t position);
  /// Starts the job at the position. Returns the position to try next.
  std::size_t start(std::size_t position, Plan plan);
  /// Marks the reserved places that the plan does not use as freed, and returns their machines.
  std::vector<std::size_t> free_unused_places(const QueueItem& item, const Plan& plan);
  void allocate_running(const QueueItem& item, const Plan& plan);
  /// Removes the started tasks from the job's remaining demand.
  void reduce_demand(QueueItem& item, const Plan& plan) const;
  /// Keeps the latest reserved places for the tasks that did not start, and drops the earlier
  /// places.
  void reserve_remaining_tasks(const QueueItem& item);
  /// Makes the blocked jobs up to the position that could use the freed machines pending again.
  /// Returns the position of the first of these jobs, or the position after `position`.
  std::size_t unblock_up_to(std::size_t position, const std::vector<std::size_t>& freed_machines);
  [[nodiscard]] bool could_start_on(const QueueItem& item,
                                    const std::vector<std::size_t>& machines) const;

  PlanningRound& round_;
  std::vector<JobState> states_;  // by position in the queue
  std::vector<JobStart> starts_;
  std::vector<Owner> started_owners_;
};

}  // namespace marblevale

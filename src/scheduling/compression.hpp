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

/// One pass over the queue. After each start it goes back to the first job that could use what the
/// start gave up.
class Compression {
 public:
  explicit Compression(PlanningRound& round)
      : round_(round), states_(round.queue.size(), JobState::pending) {}
  /// Begins at the queue's position `cursor`. Sets it to where the budget ended, or to 0 when the
  /// whole queue was tried.
  std::vector<JobStart> run(std::size_t& cursor);
  /// The owners under which what was started is allocated in the profile.
  [[nodiscard]] const std::vector<Owner>& started_owners() const { return started_owners_; }

 private:
  enum class JobState {
    pending,  // to be tried
    blocked,  // tried since anything that it could use was given up
    settled   // started, or without room beside what runs, which no moved
              // reservation changes
  };
  [[nodiscard]] bool may_start(std::size_t position) const;
  /// The plan with which the job can start now. Its own reservation is released.
  [[nodiscard]] std::optional<Plan> plan_start(const QueueItem& item);
  [[nodiscard]] std::optional<Plan> plan_due_reservation(const QueueItem& item) const;
  /// A service job never fits before reservations, as it has no end. It starts all the same where
  /// nothing runs, if only reservations of lower urgency are in its way: these are placed again.
  [[nodiscard]] std::optional<Plan> displace_reservations(const QueueItem& item);
  /// Those in the queue, other than `except`, that have a place on one of the plan's machines.
  [[nodiscard]] std::vector<const QueueItem*> reserved_on(const Plan& plan,
                                                          const JobId& except) const;
  /// Tries the job at the position; what is to be tried next.
  std::size_t try_start(std::size_t position);
  /// Starts the job at the position; what is to be tried next.
  std::size_t start(std::size_t position, Plan plan);
  /// The machines on which the job gives up a reserved place by starting with this plan.
  std::vector<std::size_t> free_unused_places(const QueueItem& item, const Plan& plan);
  void allocate_running(const QueueItem& item, const Plan& plan);
  /// Takes the started tasks out of what the job still asks for.
  void reduce_demand(QueueItem& item, const Plan& plan) const;
  /// The tasks that did not start keep the job's later places; the earliest are given up.
  void reserve_remaining_tasks(const QueueItem& item);
  /// Makes the jobs up to the position pending again that could use the freed machines; the first
  /// of them, or the next position.
  std::size_t unblock_up_to(std::size_t position, const std::vector<std::size_t>& freed_machines);
  [[nodiscard]] bool could_start_on(const QueueItem& item,
                                    const std::vector<std::size_t>& machines) const;

  PlanningRound& round_;
  std::vector<JobState> states_;  // by position in the queue
  std::vector<JobStart> starts_;
  std::vector<Owner> started_owners_;
};

}  // namespace marblevale

/// The first step of a planning round: makes the reservations of earlier rounds consistent with the
/// current profile.
#pragma once

#include <optional>
#include <unordered_set>
#include <vector>

#include "scheduling/planning_round.hpp"

namespace marblevale {

/// Restores the reservations of one round, those on pinned machines first. Then each other
/// reservation that no longer fits is placed again, in the order of the reserved starts.
class ReservationRestore {
 public:
  explicit ReservationRestore(PlanningRound& round) : round_(round) {}
  /// Returns the reservations that had to be delayed.
  std::vector<ReservationDelay> run(const PinnedMachines& pins);

 private:
  std::unordered_set<JobId> restore_pinned(const PinnedMachines& pins);
  /// Places the job's reservation on these machines only. Returns false, and leaves the reservation
  /// released, when the job can't keep its start there.
  bool restore_on(const QueueItem& item, const std::vector<MachineId>& machine_ids);
  /// The jobs whose reservation is not pinned, by reserved start, so that a conflict delays the
  /// later job.
  [[nodiscard]] std::vector<const QueueItem*> by_reserved_start(
      const std::unordered_set<JobId>& pinned) const;
  /// Keeps a reservation that no longer fits where it is, or places it again, without moving other
  /// reservations. Returns false when this would delay its start too much, so that all reservations
  /// with later starts must be released first.
  bool repair(const QueueItem& item);
  /// Puts a released reservation back into the profile, at another place if its own no longer fits.
  /// Returns false when its start would be later by more than `max_delay`.
  bool place_again(const QueueItem& item, std::optional<Duration> max_delay);
  void shift_to_now(Plan& plan) const;

  PlanningRound& round_;
  std::vector<ReservationDelay> delays_;
};

}  // namespace marblevale

/// The first step of a planning round: brings the reservations of earlier rounds into line with the
/// profile.
#pragma once

#include <optional>
#include <unordered_set>
#include <vector>

#include "scheduling/planning_round.hpp"

namespace marblevale {

/// Restores the reservations of one round. Those on pinned machines go first; of the others, in the
/// order of their granted starts, each that broke is placed again.
class ReservationRestore {
 public:
  explicit ReservationRestore(PlanningRound& round) : round_(round) {}
  /// The reservations that had to be delayed.
  std::vector<ReservationDelay> run(const PinnedMachines& pins);

 private:
  std::unordered_set<JobId> restore_pinned(const PinnedMachines& pins);
  /// True when the reservation is on just these machines.
  bool restore_on(const QueueItem& item, const std::vector<MachineId>& machine_ids);
  /// The jobs with a reservation that is not pinned, by granted start, so that a conflict falls on
  /// the later one.
  [[nodiscard]] std::vector<const QueueItem*> by_reserved_start(
      const std::unordered_set<JobId>& pinned) const;
  /// Keeps a reservation that broke, or places it again, where that moves nobody else and delays it
  /// hardly. False: all that was granted a later start has to make way first.
  bool repair(const QueueItem& item);
  /// Puts a reservation that was released back into the profile, at another place if its own no
  /// longer fits. False: its start would be later by more than `max_delay`.
  bool place_again(const QueueItem& item, std::optional<Duration> max_delay);
  void shift_to_now(Plan& plan) const;

  PlanningRound& round_;
  std::vector<ReservationDelay> delays_;
};

}  // namespace marblevale

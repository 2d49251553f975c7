/// Finds where the tasks of a job fit in the profile, at a given moment or as early as possible.
/// Changes neither the profile nor the demand.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// Most moments that a search for the earliest plan tries for one demand.
inline constexpr std::size_t kMaxSearchSteps = 200;

/// Searches one profile, which must outlive the search and must not change during it.
class PlacementSearch {
 public:
  explicit PlacementSearch(const Profile& profile) : profile_(profile) {}

  /// Plans all tasks at exactly `at`, for a gang or to check whether a whole slice can start.
  /// Returns nothing when not all tasks fit.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, WallTime at) const;
  enum class Completeness { all_tasks, as_many_as_fit };
  /// Plans tasks at exactly `at`, in the given zone, or in any zone if `zone` is empty. Returns
  /// nothing when the team's limit has no room, or when `completeness` asks for all tasks and not
  /// all fit.
  [[nodiscard]] std::optional<Plan> fit_in_zone(const Demand& demand, WallTime at,
                                                const std::optional<ZoneId>& zone,
                                                Completeness completeness) const;
  /// Plans as many tasks of an array as can start at `at`.
  [[nodiscard]] Plan fit_partially(const Demand& demand, WallTime at) const;
  /// Plans as many tasks as have room beside the running tasks at `at`, ignoring reservations, in
  /// the demand's zone if it has one.
  [[nodiscard]] Plan fit_beside_running(const Demand& demand, WallTime at) const;
  /// Returns the earliest plan that starts at or after `from`, or nothing when the machines or the
  /// team's limit can never take all tasks, or the search limit is reached.
  [[nodiscard]] std::optional<Plan> earliest(const Demand& demand, WallTime from) const;
  /// Fast check that ignores reservations. Returns false when the running tasks leave too little
  /// room for the demand at `at`; true does not mean that it fits.
  [[nodiscard]] bool may_fit_beside_running(const Demand& demand, WallTime at) const;

  /// Whether the team's limit has room from `at` for the whole gang, or for one task of an array.
  [[nodiscard]] bool team_can_fit(const Demand& demand, WallTime at) const;

 private:
  /// Which capacity counts as free: capacity without reservations, or all capacity that running
  /// tasks don't use.
  enum class Room { unreserved, beside_running };
  /// A machine that has room for at least one task.
  struct Candidate;
  [[nodiscard]] std::vector<Candidate> find_candidates(const Demand& demand, WallTime at,
                                                       const std::optional<ZoneId>& zone, Room room,
                                                       Duration min_run) const;
  /// Places tasks on the best candidates, until all tasks are placed or the candidates, the zone
  /// limit of `spread_zones` or the team's limit are used up.
  [[nodiscard]] Plan assign(const Demand& demand, WallTime at, std::vector<Candidate> candidates,
                            const Resources& team_free) const;
  /// Plans as many tasks as fit. Each needs room for at least `min_run`.
  [[nodiscard]] Plan plan_at(const Demand& demand, WallTime at, const std::optional<ZoneId>& zone,
                             Duration min_run) const;
  [[nodiscard]] std::optional<Plan> earliest_in_zone(const Demand& demand, WallTime from,
                                                     const std::optional<ZoneId>& zone) const;
  /// The zones that have machines in the profile.
  [[nodiscard]] std::vector<ZoneId> zones() const;

  const Profile& profile_;
};

}  // namespace marblevale

/// Where the tasks of a job fit in the profile: at one moment, or as early as can be. It changes
/// nothing.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// Moments that a search for the earliest plan tries for one demand.
inline constexpr std::size_t kMaxSearchSteps = 200;

/// Asks one profile, which must not change while the search lives.
class PlacementSearch {
 public:
  explicit PlacementSearch(const Profile& profile) : profile_(profile) {}

  /// All tasks at exactly `at`: for gangs, or to ask whether a slice can start whole.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, WallTime at) const;
  enum class Completeness { all_tasks, as_many_as_fit };
  /// The tasks at exactly `at`, in the given zone or anywhere.
  [[nodiscard]] std::optional<Plan> fit_in_zone(const Demand& demand, WallTime at,
                                                const std::optional<ZoneId>& zone,
                                                Completeness completeness) const;
  /// As many tasks of an array as can start at `at`.
  [[nodiscard]] Plan fit_partially(const Demand& demand, WallTime at) const;
  /// As many tasks as have room at `at` beside what runs, whatever is reserved there, in the zone
  /// of the job's other tasks if it has one.
  [[nodiscard]] Plan fit_beside_running(const Demand& demand, WallTime at) const;
  /// The earliest plan from `from` on; nothing when no machine of the profile can ever take it.
  [[nodiscard]] std::optional<Plan> earliest(const Demand& demand, WallTime from) const;
  /// False: what runs leaves too little room for the demand at `at` whatever is reserved. Quick.
  [[nodiscard]] bool may_fit_beside_running(const Demand& demand, WallTime at) const;

  /// False: the team's limit leaves too little at `at`, for the gang or for one task of an array.
  [[nodiscard]] bool team_can_fit(const Demand& demand, WallTime at) const;

 private:
  /// What counts as free: what nobody has reserved, or all that nobody uses now.
  enum class Room { unreserved, beside_running };
  /// A machine that has room for a task.
  struct Candidate;
  [[nodiscard]] std::vector<Candidate> find_candidates(const Demand& demand, WallTime at,
                                                       const std::optional<ZoneId>& zone, Room room,
                                                       Duration min_run) const;
  /// Places tasks on the best candidates, as far as these, the spread and the team's limit go.
  [[nodiscard]] Plan assign(const Demand& demand, WallTime at, std::vector<Candidate> candidates,
                            const Resources& team_free) const;
  /// As many tasks as fit. `min_run`: for how long each has to have room at the least.
  [[nodiscard]] Plan plan_at(const Demand& demand, WallTime at, const std::optional<ZoneId>& zone,
                             Duration min_run) const;
  [[nodiscard]] std::optional<Plan> earliest_in_zone(const Demand& demand, WallTime from,
                                                     const std::optional<ZoneId>& zone) const;
  /// Those that have machines.
  [[nodiscard]] std::vector<ZoneId> zones() const;

  const Profile& profile_;
};

}  // namespace marblevale

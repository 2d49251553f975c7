// Where tasks of a job fit in the profile: at one moment, or as early as can be. Looks only.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// Asks one profile, which must not change while the search lives.
class PlacementSearch {
 public:
  explicit PlacementSearch(const Profile& profile) : profile_(profile) {}

  /// All tasks at exactly `at`: for gangs, or to ask whether a slice can start whole.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, WallTime at) const;
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
  [[nodiscard]] std::vector<Candidate> candidates(const Demand& demand, WallTime at,
                                                  const std::optional<ZoneId>& zone, Room room,
                                                  Duration least_run) const;
  /// Places tasks on the best candidates, as far as these, the spread and the team's limit go.
  [[nodiscard]] Plan assign(const Demand& demand, WallTime at, std::vector<Candidate> candidates,
                            const Resources& team_free) const;
  std::optional<Plan> place_in(const Demand& demand, WallTime at, const std::optional<ZoneId>& zone,
                               bool partly, Duration least_run) const;
  std::optional<Plan> gang_in(const Demand& demand, WallTime from,
                              const std::optional<ZoneId>& zone) const;
  std::optional<Plan> array_in(const Demand& demand, WallTime from,
                               const std::optional<ZoneId>& zone) const;
  [[nodiscard]] double score(const Demand& demand, std::size_t machine, Duration fetch,
                             const Resources& free) const;
  [[nodiscard]] double price_weight(double share, const PlanMachine& machine) const;
  [[nodiscard]] std::vector<ZoneId> zones() const;
  [[nodiscard]] double plan_cost(const Demand& demand, const Plan& plan, const ZoneId& zone) const;

  const Profile& profile_;
};

}  // namespace marblevale

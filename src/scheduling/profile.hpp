/// The profile: the allocations of every machine and team over time. Pure: no clock, no sockets;
/// times are wall-clock times. The profile is updated incrementally and queried often, so machines
/// are grouped by type, zone and spot, and the allocations of each owner are indexed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "protocol/job_spec.hpp"
#include "scheduling/image_set.hpp"
#include "scheduling/resource_timeline.hpp"

namespace marblevale {

/// A machine as planning sees it.
struct PlanMachine {
  MachineId machine_id;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  WallTime ready;    // earliest time at which it can take tasks
  double price = 0;  // per hour; the spot price for a spot machine
  double pull_gb_per_s = 0;
  Resources resources;
  ImageSet images;
  std::size_t fetching = 0;  // images being fetched there; a further fetch shares the rate
};

/// The number of a job's tasks in a zone.
struct ZoneTaskCount {
  ZoneId zone;
  std::uint32_t tasks = 0;
};

/// Adds a task in the zone to the counts.
void count_task(std::vector<ZoneTaskCount>& counts, const ZoneId& zone);

/// A request to the profile: the tasks of one job that are still to be placed.
struct Demand {
  const JobSpec* job = nullptr;
  std::uint32_t tasks = 1;
  Duration run{};                           // estimated run time of each task
  std::vector<MachineId> allowed_machines;  // if not empty, no other machine may be used
  std::optional<ZoneId> zone;               // the zone of the job's placed tasks, if `single_zone`
  std::optional<ZoneId> preferred_zone;     // preferred because one zone costs fewer writes
  std::vector<ZoneTaskCount> placed_tasks;  // the job's placed tasks per zone, for `spread_zones`
};

/// The machine (by index in the profile) and the time span of one task.
struct Placement {
  std::size_t machine = 0;
  WallTime start;
  WallTime end;
};

/// Placements for tasks of one job.
struct Plan {
  std::vector<Placement> placements;  // one per task
  /// When the first task starts.
  [[nodiscard]] WallTime first_start() const;
  [[nodiscard]] WallTime start() const;  // when all tasks have started
  [[nodiscard]] WallTime end() const;
};

/// Allocations over time on all machines, and within the teams' limits.
class Profile {
 public:
  /// Increases with every change that could let a task start that could not start before.
  using Version = StrongType<struct ProfileVersionTag, std::uint64_t>;

  /// Returns the machine's index.
  std::size_t add_machine(PlanMachine machine);
  /// Removes the machine with its timeline and all its allocations. The index may be reused.
  /// Reservations with a place on the machine no longer count as fitting.
  void remove_machine(std::size_t machine);
  void add_team(const TeamId& team, Resources limit);
  /// Updates the properties of a machine that may change while it is in the profile.
  void update_machine(std::size_t machine, WallTime ready, ImageSet images, std::size_t fetching);

  /// All machines by index. Removed machines have an empty id until their index is reused.
  [[nodiscard]] const std::vector<PlanMachine>& machines() const { return machines_; }
  /// The number of machines in the profile now.
  [[nodiscard]] std::size_t count() const { return index_.size(); }
  [[nodiscard]] std::optional<std::size_t> find(const MachineId& machine_id) const;
  [[nodiscard]] const ResourceTimeline& timeline(std::size_t machine) const {
    return timelines_[machine];
  }
  /// The team's limit and its allocations over time. Null when the team has no limit.
  [[nodiscard]] const ResourceTimeline* team_timeline(const TeamId& team) const;

  void allocate(std::size_t machine, const TeamId& team, const Allocation& allocation);
  /// Allocates a task on a machine outside the profile: the task counts towards the team's limit
  /// only.
  void allocate_team(const TeamId& team, const Allocation& allocation);
  void allocate(const Plan& plan, const JobSpec& job, Owner owner);
  void release(Owner owner);
  /// Releases allocations that the caller will restore unless it finds a better plan. Unlike
  /// `release`, does not mark the capacity as freed, so that failed starts of other jobs are not
  /// retried. The caller marks the capacity that it does not allocate again with
  /// `mark_capacity_freed` and `mark_team_capacity_freed`.
  void release_tentatively(Owner owner);
  void mark_capacity_freed(std::size_t machine);
  void mark_team_capacity_freed(const TeamId& team);
  /// Releases all allocations of every owner that has a reservation on the machine, that is, an
  /// allocation that is not of running tasks.
  void release_reservations_on(std::size_t machine);

  /// True when the owner has allocations on machines, none of them is on a machine or in a team
  /// whose capacity is exceeded at that time, and none of its machines was removed or became ready
  /// later.
  [[nodiscard]] bool reservation_still_fits(Owner owner) const;
  /// True when all placements of the plan fit unchanged on their machines and within the team's
  /// limit.
  [[nodiscard]] bool still_fits(const Plan& plan, const JobSpec& job) const;
  /// Plans as many tasks as have room beside the running tasks at `at`, ignoring reservations.
  [[nodiscard]] Plan fit_beside_running(const Demand& demand, WallTime at) const;
  /// True when the zones of the job's placed tasks limit the zones of its other tasks: a job with
  /// `spread_zones` or `single_zone` whose tasks start one by one. False for a gang, which is
  /// placed as a whole.
  [[nodiscard]] static bool needs_zone_check(const Demand& demand);
  /// True when the plan's zones are allowed beside the zones of the job's placed tasks.
  [[nodiscard]] bool satisfies_zone_constraints(const Plan& plan, const Demand& demand) const;
  /// Plans all tasks at exactly `at`, for a gang or to check whether a whole slice can start.
  /// Returns nothing when not all tasks fit.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, WallTime at) const;
  /// Plans as many tasks of an array as can start at `at`.
  [[nodiscard]] Plan fit_partially(const Demand& demand, WallTime at) const;
  /// Returns the earliest plan that starts at or after `from`, or nothing when the machines or the
  /// team's limit can never take all tasks, or the search limit is reached.
  [[nodiscard]] std::optional<Plan> earliest(const Demand& demand, WallTime from) const;
  /// Fast check that ignores reservations. Returns false when the running tasks leave too little
  /// room for the demand at `at`; true does not mean that it fits.
  [[nodiscard]] bool may_fit_beside_running(const Demand& demand, WallTime at) const;

  /// True when the job may use the machine: its spot, zone and machine type constraints allow it,
  /// and one task fits on the empty machine.
  [[nodiscard]] static bool allowed(const JobSpec& job, const PlanMachine& machine);
  /// The estimated time to fetch the job's image to the machine; 0 when the machine has it, or when
  /// its fetch rate is unknown.
  [[nodiscard]] static Duration fetch_time(const JobSpec& job, const PlanMachine& machine);
  /// Increases with freed capacity, with a new machine, and with a machine that is ready earlier,
  /// whose images changed or that fetches fewer images.
  [[nodiscard]] Version version() const { return version_; }
  /// True when one of the demand's tasks could start at `now` on an allowed machine whose capacity
  /// was freed after `since`, or that became ready after `ready_since`.
  [[nodiscard]] bool capacity_freed_for(const Demand& demand, Version since, WallTime ready_since,
                                        WallTime now) const;
  [[nodiscard]] bool team_capacity_freed_since(const TeamId& team, Version since) const;
  /// The number of timelines examined so far: a measure of planning cost that does not depend on
  /// the speed of the machine.
  [[nodiscard]] std::uint64_t candidates_examined() const { return candidates_examined_; }

  /// The machines of one type and zone that are all spot or all on demand.
  struct Group {
    PlanMachine kind;  // machine type, zone, spot and resources of the members
    std::vector<std::size_t> members;
  };
  [[nodiscard]] const std::vector<Group>& groups() const { return groups_; }
  /// Calls `visit` with the index of every machine that the demand's job may use, in the given zone
  /// or in all zones if `zone` is empty.
  template <typename Visitor>
  void for_each_allowed_machine(const Demand& demand, const std::optional<ZoneId>& zone,
                                Visitor visit) const {
    for (const Group& group : groups_) {
      if (group.members.empty() || (zone && group.kind.zone != *zone)) continue;
      if (!allowed(*demand.job, group.kind)) continue;
      for (const std::size_t i : group.members) {
        if (!demand.allowed_machines.empty() &&
            std::find(demand.allowed_machines.begin(), demand.allowed_machines.end(),
                      machines_[i].machine_id) == demand.allowed_machines.end()) {
          continue;
        }
        ++candidates_examined_;
        visit(i);
      }
    }
  }
  /// The machine's part of the hash that breaks ties between equal machines.
  [[nodiscard]] std::uint64_t tie_break_seed(std::size_t machine) const {
    return tie_break_seeds_[machine];
  }
  /// The highest hourly price of any machine that was ever in the profile.
  [[nodiscard]] double highest_price() const { return highest_price_; }
  void count_candidate() const { ++candidates_examined_; }

 private:
  /// A team's limit and its allocations over time.
  struct TeamTimeline {
    TeamId name;
    ResourceTimeline timeline;
    Version freed_at;  // version at which some of it was last freed
  };
  /// Marks all owners with allocations on the machine, so that their reservations no longer count
  /// as fitting.
  void invalidate_owners_on(std::size_t machine);
  /// Releases the owner's allocations without marking capacity as freed. Returns the machines that
  /// had them.
  std::vector<std::size_t> release_allocations(Owner owner);
  [[nodiscard]] bool fits_machines(const Plan& plan, const JobSpec& job) const;
  [[nodiscard]] static bool fits_team_limit(const Plan& plan, const JobSpec& job,
                                            const ResourceTimeline& limit);
  /// True when the timeline has room for all these placements together.
  [[nodiscard]] static bool fit_on_timeline(const ResourceTimeline& timeline,
                                            const Placement* placements, std::size_t count,
                                            const Resources& need);
  void next_version() { version_ = Version(version_.get() + 1); }

  std::vector<PlanMachine> machines_;
  std::vector<std::uint64_t> tie_break_seeds_;  // by machine
  std::vector<ResourceTimeline> timelines_;
  std::vector<std::size_t> free_indexes_;
  std::vector<Group> groups_;
  std::unordered_map<MachineId, std::size_t> index_;
  double highest_price_ = 0;
  std::vector<Version> freed_at_;  // by machine: version at which capacity was last freed
  Version version_{1};
  std::vector<TeamTimeline> teams_;
  std::unordered_map<Owner, std::vector<std::size_t>> machines_of_owner_;
  std::unordered_map<Owner, std::size_t> team_of_owner_;
  // Owners of which a machine was removed or became ready later.
  std::unordered_set<Owner> invalidated_owners_;
  mutable std::uint64_t candidates_examined_ = 0;
};

}  // namespace marblevale

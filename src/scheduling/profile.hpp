/// The profile: for every machine and team, what is allocated from when to when. Pure: no clock, no
/// sockets. Times are points of the time of day. It is updated incrementally, so machines are kept
/// in groups of one kind, and the allocations of each owner are indexed.
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
  WallTime ready;    // when it can take tasks
  double price = 0;  // per hour, as it is charged
  double pull_gb_per_s = 0;
  Resources resources;
  ImageSet images;
  std::size_t fetching = 0;  // images being fetched there: a further one shares the rate
};

/// How many of a job's tasks a zone has.
struct ZoneTaskCount {
  ZoneId zone;
  std::uint32_t tasks = 0;
};

/// What is asked of the profile: tasks of one job that are still to be placed.
struct Demand {
  const JobSpec* job = nullptr;
  std::uint32_t tasks = 1;
  Duration run{};                           // estimated run time of each
  std::vector<MachineId> allowed_machines;  // if given: no other machines
  std::optional<ZoneId> zone;               // where the job's other tasks are, if `together`
  std::optional<ZoneId> preferred_zone;     // among equals: one zone costs fewer writes
  std::vector<ZoneTaskCount> placed_tasks;  // the job's placed tasks per zone, for `spread`
};

/// One task's machine, by index in the profile, and time.
struct Placement {
  std::size_t machine = 0;
  WallTime start;
  WallTime end;
};

/// Machines and times for tasks of one job.
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
  /// Rises with everything that could let a task start that could not before.
  using Version = StrongType<struct ProfileVersionTag, std::uint64_t>;

  /// Returns the machine's index.
  std::size_t add_machine(PlanMachine machine);
  /// Removes it with its timeline and all that is allocated there. Its index may be reused.
  void remove_machine(std::size_t machine);
  void add_team(const TeamId& team, Resources limit);
  /// What may change of a machine while it is in the profile.
  void update_machine(std::size_t machine, WallTime ready, ImageSet images, std::size_t fetching);

  /// All that ever were, by index; those that were removed have an empty id.
  [[nodiscard]] const std::vector<PlanMachine>& machines() const { return machines_; }
  /// How many machines the profile has now.
  [[nodiscard]] std::size_t count() const { return index_.size(); }
  [[nodiscard]] std::optional<std::size_t> find(const MachineId& machine_id) const;
  [[nodiscard]] const ResourceTimeline& timeline(std::size_t machine) const {
    return timelines_[machine];
  }
  /// The team's limit over time; null when it has none.
  [[nodiscard]] const ResourceTimeline* team_timeline(const TeamId& team) const;

  void allocate(std::size_t machine, const TeamId& team, const Allocation& allocation);
  /// For a task on a machine outside the profile: it counts towards the team's limit only.
  void allocate_team(const TeamId& team, const Allocation& allocation);
  void allocate(const Plan& plan, const JobSpec& job, Owner owner);
  void release(Owner owner);
  /// As `release`, for what will be allocated again as it was, unless something better is found:
  /// nobody else is to look for room there meanwhile. `mark_capacity_freed` follows where it is not
  /// taken again.
  void release_tentatively(Owner owner);
  void mark_capacity_freed(std::size_t machine);
  void mark_team_capacity_freed(const TeamId& team);
  /// Releases every owner that has an allocation there that has not begun.
  void release_reservations_on(std::size_t machine);

  /// True when the owner has allocations, and none of them is on a machine or in a team whose
  /// capacity is exceeded at that time.
  [[nodiscard]] bool reservation_still_fits(Owner owner) const;
  /// True when the plan still fits as it is.
  [[nodiscard]] bool still_fits(const Plan& plan, const JobSpec& job) const;
  /// As many tasks as have room at `at` beside what runs, whatever is reserved there.
  [[nodiscard]] Plan fit_beside_running(const Demand& demand, WallTime at) const;
  /// The job's tasks start one by one, and where some are decides where others may be. A gang is
  /// placed whole, while none of its tasks is anywhere.
  [[nodiscard]] static bool needs_zone_check(const Demand& demand);
  /// The plan's zones are allowed beside those in which the job's other tasks are placed.
  [[nodiscard]] bool satisfies_zone_constraints(const Plan& plan, const Demand& demand) const;
  /// All tasks at exactly `at`: for gangs, or to ask whether a slice can start whole.
  [[nodiscard]] std::optional<Plan> fit_at(const Demand& demand, WallTime at) const;
  /// As many tasks of an array as can start at `at`.
  [[nodiscard]] Plan fit_partially(const Demand& demand, WallTime at) const;
  /// The earliest plan from `from` on; nothing when no machine of the profile can ever take it.
  [[nodiscard]] std::optional<Plan> earliest(const Demand& demand, WallTime from) const;
  /// False: what runs leaves too little room for the demand at `at` whatever is reserved. Quick.
  [[nodiscard]] bool may_fit_beside_running(const Demand& demand, WallTime at) const;

  /// True when the job's rules allow the machine.
  [[nodiscard]] static bool allowed(const JobSpec& job, const PlanMachine& machine);
  /// How long the job's image takes to be on the machine; 0 when it is there.
  [[nodiscard]] static Duration fetch_time(const JobSpec& job, const PlanMachine& machine);
  /// Rises with freed capacity, and with a machine that is new, ready sooner or has a further
  /// image.
  [[nodiscard]] Version version() const { return version_; }
  /// True when capacity on a machine that the demand's job may use was freed after `since`, or the
  /// machine became ready after `ready_since`, and one of its tasks could start there `now`.
  [[nodiscard]] bool capacity_freed_for(const Demand& demand, Version since, WallTime ready_since,
                                        WallTime now) const;
  [[nodiscard]] bool team_capacity_freed_since(const TeamId& team, Version since) const;
  /// Timelines examined so far: the cost of planning in steps.
  [[nodiscard]] std::uint64_t candidates_examined() const { return candidates_examined_; }

  /// Machines of one type, zone and kind.
  struct Group {
    PlanMachine kind;  // machine type, zone, spot and room of its members
    std::vector<std::size_t> members;
  };
  [[nodiscard]] const std::vector<Group>& groups() const { return groups_; }
  /// Calls `each` with every machine, by index, that the demand's job may use in the zone.
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
  /// Decides between equals, by machine and job together.
  [[nodiscard]] std::uint64_t tie_break_seed(std::size_t machine) const {
    return tie_break_seeds_[machine];
  }
  /// The highest price of any machine that was ever in the profile.
  [[nodiscard]] double highest_price() const { return highest_price_; }
  /// Counts one more examined timeline.
  void count_candidate() const { ++candidates_examined_; }

 private:
  /// A team's limit over time.
  struct TeamTimeline {
    TeamId name;
    ResourceTimeline timeline;
    Version freed_at;  // when some of it was last freed
  };
  /// The allocations there can't be kept as they are.
  void invalidate_owners_on(std::size_t machine);
  /// Returns the machines where the owner had allocations.
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
  std::vector<std::uint64_t>
      tie_break_seeds_;  // decide between equals, by machine and job together
  std::vector<ResourceTimeline> timelines_;
  std::vector<std::size_t> free_indexes_;
  std::vector<Group> groups_;
  std::unordered_map<MachineId, std::size_t> index_;
  double highest_price_ = 0;
  std::vector<Version> freed_at_;  // by machine: when capacity there was last freed
  Version version_{1};
  std::vector<TeamTimeline> teams_;
  std::unordered_map<Owner, std::vector<std::size_t>>
      machines_of_owner_;  // machines where it has allocations
  std::unordered_map<Owner, std::size_t> team_of_owner_;
  std::unordered_set<Owner>
      invalidated_owners_;  // a machine that they counted on is gone, or is late
  mutable std::uint64_t candidates_examined_ = 0;
};

}  // namespace marblevale

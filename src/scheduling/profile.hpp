// The profile: for every machine and team, what is taken from when to when. Pure: no clock, no
// sockets. Times are points of the time of day. It is kept up from change to change, so machines
// stand in groups of one kind, and each owner's places are known.
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
  std::size_t fetching = 0;  // images on their way there: a further one shares the rate
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

struct Placement {
  std::size_t machine = 0;
  WallTime start;
  WallTime end;
};

struct Plan {
  std::vector<Placement> placements;  // one per task
  [[nodiscard]] WallTime first_start() const;
  [[nodiscard]] WallTime start() const;  // when all tasks have started
  [[nodiscard]] WallTime end() const;
};

class Profile {
 public:
  using Version = StrongType<struct ProfileVersionTag, std::uint64_t>;

  std::size_t add_machine(PlanMachine machine);
  /// Its timeline and all that was taken there; its index may be used again.
  void remove_machine(std::size_t machine);
  void add_team(const TeamId& team, Resources limit);
  /// What may change of a machine while it is in the profile.
  void update_machine(std::size_t machine, WallTime ready, ImageSet images, std::size_t fetching);

  /// All that ever were, by index; those that are gone have an empty name.
  [[nodiscard]] const std::vector<PlanMachine>& machines() const { return machines_; }
  [[nodiscard]] std::size_t count() const { return index_.size(); }
  [[nodiscard]] std::optional<std::size_t> find(const MachineId& machine_id) const;
  [[nodiscard]] const ResourceTimeline& timeline(std::size_t machine) const {
    return timelines_[machine];
  }
  [[nodiscard]] const ResourceTimeline* team_timeline(const TeamId& team) const;

  void allocate(std::size_t machine, const TeamId& team, const Allocation& allocation);
  /// On a machine outside the profile: only the team's limit is touched.
  void allocate_team(const TeamId& team, const Allocation& allocation);
  void allocate(const Plan& plan, const JobSpec& job, Owner owner);
  void release(Owner owner);
  /// As `release`, for what will be taken again as it was, unless something better is found: nobody
  /// else is to look for room there meanwhile. `mark_capacity_freed` follows where it is not taken
  /// again.
  void release_tentatively(Owner owner);
  void mark_capacity_freed(std::size_t machine);
  void mark_team_capacity_freed(const TeamId& team);
  /// Of all that have room there for later.
  void release_reservations_on(std::size_t machine);

  /// True when the owner has taken room, and nowhere is more taken during that time than there is.
  [[nodiscard]] bool reservation_still_fits(Owner owner) const;
  /// True when the plan still fits as it is.
  [[nodiscard]] bool still_fits(const Plan& plan, const JobSpec& job) const;
  [[nodiscard]] Plan fit_beside_running(const Demand& demand, WallTime at) const;
  /// The job's tasks start one by one, and where some are decides where others may be. A gang is
  /// placed whole, while none of its tasks is anywhere.
  [[nodiscard]] static bool has_tasks_elsewhere(const Demand& demand);
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
  [[nodiscard]] Duration fetch_time(const JobSpec& job, const PlanMachine& machine) const;
  /// Which state of the room this is. It rises with everything that could let a task begin that
  /// could not before: room that is given up, a machine that is new or has a further image.
  [[nodiscard]] Version version() const { return version_; }
  /// True when room on a machine that the demand's job may use was opened after `since`, or the
  /// machine became ready after `ready_since`, and one of its tasks could begin there `now`.
  [[nodiscard]] bool capacity_freed_for(const Demand& demand, Version since, WallTime ready_since,
                                        WallTime now) const;
  [[nodiscard]] bool team_capacity_freed_since(const TeamId& team, Version since) const;
  /// Lanes looked at so far: the cost of planning in steps.
  [[nodiscard]] std::uint64_t candidates_examined() const { return candidates_examined_; }

  /// Machines of one type, zone and kind.
  struct Group {
    PlanMachine kind;  // machine type, zone, spot and room of its members
    std::vector<std::size_t> members;
  };
  [[nodiscard]] const std::vector<Group>& groups() const { return groups_; }
  /// Calls `each` with every machine, by index, that the demand's job may use in the zone.
  template <typename Each>
  void for_each_allowed_machine(const Demand& demand, const std::optional<ZoneId>& zone,
                                Each each) const {
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
        each(i);
      }
    }
  }
  /// Decides between equals, by machine and job together.
  [[nodiscard]] std::uint64_t tie_break_seed(std::size_t machine) const {
    return tie_break_seeds_[machine];
  }
  /// The highest price of any machine that was ever in the profile.
  [[nodiscard]] double highest_price() const { return highest_price_; }
  void count_candidate() const { ++candidates_examined_; }

 private:
  /// A team's limit over time.
  struct TeamTimeline {
    TeamId name;
    ResourceTimeline timeline;
    Version opened;  // when some of it was last given up
  };
  void break_owners_on(std::size_t machine);
  /// Takes the owner's room back; the machines where it was.
  std::vector<std::size_t> release_allocations(Owner owner);
  [[nodiscard]] bool fits_machines(const Plan& plan, const JobSpec& job) const;
  [[nodiscard]] static bool fits_team_limit(const Plan& plan, const JobSpec& job,
                                            const ResourceTimeline& limit);
  /// True when the timeline takes these placements together, one after the other or at once.
  [[nodiscard]] static bool fit_on_timeline(const ResourceTimeline& timeline,
                                            const Placement* placements, std::size_t count,
                                            const Resources& need);
  void next_version() { version_ = Version(version_.get() + 1); }

  std::vector<PlanMachine> machines_;
  std::vector<std::uint64_t>
      tie_break_seeds_;  // decide between equals, by machine and job together
  std::vector<ResourceTimeline> timelines_;
  std::vector<std::size_t> unused_;
  std::vector<Group> groups_;
  std::unordered_map<MachineId, std::size_t> index_;
  double highest_price_ = 0;
  std::vector<Version> opened_;  // by machine: when room there was last opened
  Version version_{1};
  std::vector<TeamTimeline> teams_;
  std::unordered_map<Owner, std::vector<std::size_t>> owners_;  // timelines where it has taken room
  std::unordered_map<Owner, std::size_t> team_of_;
  std::unordered_set<Owner> broken_;  // a machine that they counted on is gone, or comes later
  mutable std::uint64_t candidates_examined_ = 0;
};

}  // namespace marblevale

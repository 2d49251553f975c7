/// Finds the earliest start of each task of an array or a service job, whose tasks start
/// separately. Pure: changes neither the profile nor the demand.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// Greedy search: gives each task the slot that is free earliest and, among slots that are free at
/// the same time, the one with the lowest placement score.
class ArraySearch {
 public:
  /// Searches the given zone, or all zones if `zone` is empty. Keeps references to all three
  /// arguments: they must outlive the search, and must not change during it.
  ArraySearch(const Profile& profile, const Demand& demand, const std::optional<ZoneId>& zone);
  /// Returns nothing unless all tasks find a slot at or after `from`.
  [[nodiscard]] std::optional<Plan> earliest(WallTime from);

 private:
  /// The earliest start of one more task on a machine.
  struct Slot {
    WallTime free_at;
    double score;
    std::size_t machine;
    Duration run{};
    bool operator>(const Slot& o) const {
      return free_at != o.free_at ? free_at > o.free_at : score > o.score;
    }
  };
  /// The machine's timeline, including the tasks that this search has placed so far.
  [[nodiscard]] const ResourceTimeline& timeline_of(std::size_t machine) const;
  /// Queues the machine's next slot at or after `at`, if it has one.
  void push_slot(std::size_t machine, Duration run, WallTime at);
  [[nodiscard]] bool zone_is_full(const Slot& slot);
  [[nodiscard]] bool team_can_fit(const Slot& slot) const;
  void place_on(const Slot& slot);

  const Profile& profile_;
  const Demand& demand_;
  const std::optional<ZoneId>& zone_;
  std::priority_queue<Slot, std::vector<Slot>, std::greater<>> slots_;
  std::unordered_map<std::size_t, ResourceTimeline> changed_timelines_;  // by machine
  std::optional<ResourceTimeline> team_limit_;
  std::unordered_map<ZoneId, std::uint32_t> tasks_in_zone_;
  Plan plan_;
};

}  // namespace marblevale

/// The earliest starts for tasks that start separately, as those of an array or a service do. Pure.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// Gives each task the next free slot, the best among equals.
class ArraySearch {
 public:
  /// In the zone, or anywhere. Neither profile nor demand may change while the search lives.
  ArraySearch(const Profile& profile, const Demand& demand, const std::optional<ZoneId>& zone);
  /// Nothing when not all tasks find a slot from `from` on.
  [[nodiscard]] std::optional<Plan> earliest(WallTime from);

 private:
  /// Where the next task on a machine could start.
  struct Slot {
    WallTime free_at;
    double score;
    std::size_t machine;
    Duration run{};
    bool operator>(const Slot& o) const {
      return free_at != o.free_at ? free_at > o.free_at : score > o.score;
    }
  };
  /// The machine's timeline with the tasks that are placed so far.
  [[nodiscard]] const ResourceTimeline& timeline_of(std::size_t machine) const;
  /// Adds the machine's next slot from `at` on, if it has one.
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

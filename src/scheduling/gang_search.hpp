/// Finds the earliest moment at which all tasks of a gang can start together. Pure: changes neither
/// the profile nor the demand.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// Keeps, for each number of tasks that fit on a machine together, the next moment at which the
/// machine has room for them (a slot). The gang can't start before as many slots are free as it has
/// tasks, so the search jumps to that moment, and then queries only the slots that were free
/// before it again.
class GangSearch {
 public:
  /// Searches the given zone, or all zones if `zone` is empty. Keeps references to all three
  /// arguments: they must outlive the search, and must not change during it.
  GangSearch(const Profile& profile, const Demand& demand, const std::optional<ZoneId>& zone)
      : profile_(profile), demand_(demand), zone_(zone) {}
  /// Returns nothing when no moment at or after `from` is found within `kMaxSearchSteps`.
  [[nodiscard]] std::optional<Plan> earliest(WallTime from);

 private:
  struct Slot {
    WallTime free_at;
    std::size_t machine;
    std::uint32_t nth;  // tasks for which the machine has room at `free_at`, from 1
    Duration run{};
  };
  void collect_slots(WallTime from);
  void update(Slot& slot, WallTime at) const;
  /// The first moment at or after `at` at which the gang has as many free slots as it needs.
  WallTime enough_slots_at(WallTime at);
  /// The next moment after `at` at which a slot becomes free or the use of a machine changes.
  [[nodiscard]] WallTime next_change_after(WallTime at) const;

  const Profile& profile_;
  const Demand& demand_;
  const std::optional<ZoneId>& zone_;
  std::vector<Slot> slots_;
};

}  // namespace marblevale

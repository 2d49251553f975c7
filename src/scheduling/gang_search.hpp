/// The earliest moment at which all tasks of a gang can start together. Pure.
#pragma once

#include <optional>
#include <vector>

#include "scheduling/profile.hpp"

namespace marblevale {

/// For each slot that a task could have on a machine (the first, the second, ...), keeps the next
/// moment at which it is free. The gang can't start before as many are free as it has tasks, so
/// that moment is tried next; only machines that were free before it are asked anew.
class GangSearch {
 public:
  /// In the zone, or anywhere. Neither profile nor demand may change while the search lives.
  GangSearch(const Profile& profile, const Demand& demand, const std::optional<ZoneId>& zone)
      : profile_(profile), demand_(demand), zone_(zone) {}
  /// Nothing when no moment from `from` on is found.
  [[nodiscard]] std::optional<Plan> earliest(WallTime from);

 private:
  struct Slot {
    WallTime free_at;
    std::size_t machine;
    std::uint32_t nth;  // on its machine, from 1
    Duration run{};
  };
  void collect_slots(WallTime from);
  void update(Slot& slot, WallTime at) const;
  /// The first moment from `at` on at which the gang has as many free slots as it needs.
  WallTime enough_slots_at(WallTime at);
  /// The next moment after `at` at which any slot or machine changes.
  [[nodiscard]] WallTime next_change_after(WallTime at) const;

  const Profile& profile_;
  const Demand& demand_;
  const std::optional<ZoneId>& zone_;
  std::vector<Slot> slots_;
};

}  // namespace marblevale

// What to rent for the work that waits. Pure.
#pragma once

#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "protocol/cloud.hpp"
#include "scheduling/profile.hpp"

namespace marblevale {

/// A kind of machine that can be rented.
struct MachineOffering {
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  auto operator<=>(const MachineOffering&) const = default;
};

/// Work that would wait longer than a new machine takes to come up.
struct UnmetDemand {
  const JobSpec* job = nullptr;
  std::uint32_t tasks = 0;
  Duration run{};
  Duration wait{};             // until its planned start
  std::optional<ZoneId> zone;  // where it must be
};

/// How many machines of each offer to rent. `available` says whether the cloud may have any;
/// `in_zone` counts the machines that each zone has; `team_room` is what each team may still take.
std::map<MachineOffering, std::uint32_t> plan_scale_out(
    const std::vector<UnmetDemand>& unmet_demands, const std::vector<MachineType>& types,
    const std::function<bool(const MachineOffering&)>& available,
    const std::map<ZoneId, std::uint32_t>& in_zone, std::map<TeamId, Resources> team_resources);

}  // namespace marblevale

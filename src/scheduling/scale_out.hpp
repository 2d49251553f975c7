/// Scale-out: decides which machines to provision for waiting jobs. Pure.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/cloud.hpp"
#include "scheduling/profile.hpp"

namespace marblevale {

/// A kind of machine that the cloud offers.
struct MachineOffering {
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  // clang-tidy 14 reports the comparison of the `bool` member as a conversion.
  // NOLINTNEXTLINE(readability-implicit-bool-conversion)
  auto operator<=>(const MachineOffering&) const = default;
};

/// Tasks of a job whose planned wait may be longer than a new machine takes to boot.
struct UnmetDemand {
  const JobSpec* job = nullptr;
  std::uint32_t tasks = 0;
  Duration run{};
  Duration wait{};             // time until the planned start
  std::optional<ZoneId> zone;  // the zone that the tasks must be in, if any
};

/// Returns the number of machines of each offering to provision. `available` returns whether the
/// cloud may have machines of an offering, `machines_in_zone` is the number of machines that each
/// zone has, and `team_resources` holds the resources that each team may still use; a team without
/// an entry has no limit.
std::map<MachineOffering, std::uint32_t> plan_scale_out(
    const std::vector<UnmetDemand>& unmet_demands, const std::vector<MachineType>& types,
    const std::function<bool(const MachineOffering&)>& available,
    const std::map<ZoneId, std::uint32_t>& machines_in_zone,
    std::map<TeamId, Resources> team_resources);

}  // namespace marblevale

/// Scale-out: which machines to provision for the work that waits. Pure.
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
  // Version 14 of the linter takes the comparison of the `bool` member for a conversion.
  // NOLINTNEXTLINE(readability-implicit-bool-conversion)
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

/// How many machines of each offering to provision. `available` says whether the cloud may have
/// any; `machines_in_zone` counts the machines that each zone has; `team_resources` is what each
/// team may still use.
std::map<MachineOffering, std::uint32_t> plan_scale_out(
    const std::vector<UnmetDemand>& unmet_demands, const std::vector<MachineType>& types,
    const std::function<bool(const MachineOffering&)>& available,
    const std::map<ZoneId, std::uint32_t>& machines_in_zone,
    std::map<TeamId, Resources> team_resources);

}  // namespace marblevale

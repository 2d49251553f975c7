#include "scheduling/scale_out.hpp"

#include <algorithm>

namespace marblevale {

namespace {

// A new machine is provisioned only if the demand would wait this much longer than the machine
// takes to boot.
constexpr Duration kMinTimeSaved{5'000};
constexpr std::uint32_t kMinRoundLimit = 16;
constexpr double kRoundLimitFleetShare = 0.15;  // of the current machines
// Price that each machine of a zone adds to the zone's offerings, so that new machines are
// distributed over the zones.
constexpr double kZoneLoadWeight = 0.01;

/// A machine to provision, and its free capacity after the tasks that are packed into it.
struct PlannedMachine {
  MachineOffering offering;
  Resources free;
};

struct PricedOffering {
  double cost = 0;
  MachineOffering offering;
  auto operator<=>(const PricedOffering&) const = default;
};

PlanMachine as_machine(const MachineType& type, const MachineOffering& offering) {
  PlanMachine machine;
  machine.machine_type = type.name;
  machine.zone = offering.zone;
  machine.spot = offering.spot;
  machine.resources = type.resources;
  return machine;
}

/// Packs the tasks of one demand after another into the machines planned so far, and plans further
/// machines when these are full.
class ScaleOut {
 public:
  ScaleOut(const std::vector<MachineType>& types,
           const std::function<bool(const MachineOffering&)>& available,
           const std::map<ZoneId, std::uint32_t>& machines_in_zone,
           std::map<TeamId, Resources> team_resources)
      : types_(types),
        available_(available),
        machines_in_zone_(machines_in_zone),
        team_resources_(std::move(team_resources)) {
    double total = 0;
    for (const auto& [zone, count] : machines_in_zone) total += count;
    max_machines_ =
        std::max(kMinRoundLimit, static_cast<std::uint32_t>(total * kRoundLimitFleetShare));
  }

  void add(const UnmetDemand& demand);
  [[nodiscard]] std::map<MachineOffering, std::uint32_t> counts() const;

 private:
  /// The offerings that suit the demand, by the price of a task's share of the machine and the
  /// number of machines in the zone, lowest first.
  [[nodiscard]] std::vector<PricedOffering> offerings_for(const UnmetDemand& demand) const;
  [[nodiscard]] bool is_suitable(const UnmetDemand& demand, const MachineType& type,
                                 const MachineOffering& offering) const;
  [[nodiscard]] double zone_load(const ZoneId& zone) const;
  /// Returns a planned machine with room for a task, or plans a new one. Null when there is
  /// neither, or the limit per round is reached.
  PlannedMachine* find_or_plan(const Resources& need, const std::optional<ZoneId>& zone,
                               const std::vector<PricedOffering>& offerings);
  PlannedMachine* plan_machine(const std::optional<ZoneId>& zone,
                               const std::vector<PricedOffering>& offerings);

  const std::vector<MachineType>& types_;
  const std::function<bool(const MachineOffering&)>& available_;
  const std::map<ZoneId, std::uint32_t>& machines_in_zone_;
  std::map<TeamId, Resources> team_resources_;  // remaining for each team
  std::size_t max_machines_ = 0;
  std::vector<PlannedMachine> planned_;
};

double ScaleOut::zone_load(const ZoneId& zone) const {
  const auto known = machines_in_zone_.find(zone);
  double load = known == machines_in_zone_.end() ? 0 : known->second;
  for (const PlannedMachine& machine : planned_) load += machine.offering.zone == zone ? 1 : 0;
  return load;
}

bool ScaleOut::is_suitable(const UnmetDemand& demand, const MachineType& type,
                           const MachineOffering& offering) const {
  if (!Profile::allowed(*demand.job, as_machine(type, offering))) return false;
  if (!available_(offering)) return false;
  if (demand.zone && *demand.zone != offering.zone) return false;
  return demand.wait >= type.boot + kMinTimeSaved;
}

std::vector<PricedOffering> ScaleOut::offerings_for(const UnmetDemand& demand) const {
  std::vector<PricedOffering> offerings;
  for (const MachineType& type : types_) {
    for (const ZoneId& zone : type.zones) {
      for (const bool spot : {true, false}) {
        const MachineOffering offering{type.name, zone, spot};
        if (!is_suitable(demand, type, offering)) continue;
        const double cost = dominant_share(demand.job->need, type.resources) * type.price_of(spot);
        offerings.push_back({cost + kZoneLoadWeight * zone_load(zone), offering});
      }
    }
  }
  std::sort(offerings.begin(), offerings.end());
  return offerings;
}

PlannedMachine* ScaleOut::find_or_plan(const Resources& need, const std::optional<ZoneId>& zone,
                                       const std::vector<PricedOffering>& offerings) {
  for (PlannedMachine& machine : planned_) {
    if (!fits(need, machine.free) || (zone && machine.offering.zone != *zone)) continue;
    const bool is_allowed = std::any_of(
        offerings.begin(), offerings.end(),
        [&](const PricedOffering& priced) { return priced.offering == machine.offering; });
    if (is_allowed) return &machine;
  }
  return planned_.size() < max_machines_ ? plan_machine(zone, offerings) : nullptr;
}

PlannedMachine* ScaleOut::plan_machine(const std::optional<ZoneId>& zone,
                                       const std::vector<PricedOffering>& offerings) {
  const auto priced = std::find_if(
      offerings.begin(), offerings.end(),
      [&](const PricedOffering& candidate) { return !zone || candidate.offering.zone == *zone; });
  if (priced == offerings.end()) return nullptr;
  const auto type = std::find_if(types_.begin(), types_.end(), [&](const MachineType& candidate) {
    return candidate.name == priced->offering.machine_type;
  });
  planned_.push_back({priced->offering, type->resources});
  return &planned_.back();
}

void ScaleOut::add(const UnmetDemand& demand) {
  const JobSpec& job = *demand.job;
  const std::vector<PricedOffering> offerings = offerings_for(demand);
  std::optional<ZoneId> zone = demand.zone;
  const auto team = team_resources_.find(job.team);
  for (std::uint32_t task = 0; task < demand.tasks; ++task) {
    if (team != team_resources_.end() && !fits(job.need, team->second)) break;
    PlannedMachine* machine = find_or_plan(job.need, zone, offerings);
    if (machine == nullptr) break;
    machine->free -= job.need;
    if (team != team_resources_.end()) team->second -= job.need;
    if (job.single_zone) zone = machine->offering.zone;
  }
}

std::map<MachineOffering, std::uint32_t> ScaleOut::counts() const {
  std::map<MachineOffering, std::uint32_t> out;
  for (const PlannedMachine& machine : planned_) ++out[machine.offering];
  return out;
}

}  // namespace

std::map<MachineOffering, std::uint32_t> plan_scale_out(
    const std::vector<UnmetDemand>& unmet_demands, const std::vector<MachineType>& types,
    const std::function<bool(const MachineOffering&)>& available,
    const std::map<ZoneId, std::uint32_t>& machines_in_zone,
    std::map<TeamId, Resources> team_resources) {
  ScaleOut scale_out(types, available, machines_in_zone, std::move(team_resources));
  for (const UnmetDemand& demand : unmet_demands) scale_out.add(demand);
  return scale_out.counts();
}

}  // namespace marblevale

#include "scheduling/scale_out.hpp"

#include <algorithm>

namespace marblevale {

namespace {

// A new machine must save at least this much waiting beyond its boot.
constexpr Duration kWorthwhile{5'000};
constexpr std::uint32_t kMinPerRound = 16;
constexpr double kPerRound = 0.15;  // of the machines that there are

struct Virtual {
  MachineOffering offer;
  Resources left;
};

PlanMachine as_machine(const MachineType& type, const MachineOffering& offer) {
  PlanMachine m;
  m.machine_type = type.name;
  m.zone = offer.zone;
  m.spot = offer.spot;
  m.resources = type.resources;
  return m;
}

}  // namespace

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size)
std::map<MachineOffering, std::uint32_t> plan_scale_out(
    const std::vector<UnmetDemand>& unmet_demands, const std::vector<MachineType>& types,
    const std::function<bool(const MachineOffering&)>& available,
    const std::map<ZoneId, std::uint32_t>& in_zone, std::map<TeamId, Resources> team_resources) {
  std::vector<Virtual> provisioned;
  std::uint32_t total = 0;
  double known = 0;
  for (const auto& [zone, n] : in_zone) known += n;
  const auto most = std::max(kMinPerRound, static_cast<std::uint32_t>(known * kPerRound));
  const auto zone_load = [&](const ZoneId& zone) {
    const auto it = in_zone.find(zone);
    double n = it == in_zone.end() ? 0 : it->second;
    for (const Virtual& v : provisioned) n += v.offer.zone == zone ? 1 : 0;
    return n;
  };

  for (const UnmetDemand& w : unmet_demands) {
    // Offers that the job allows, the cheapest for its share first; zones are taken in turn.
    std::vector<std::pair<double, MachineOffering>> offers;
    for (const MachineType& type : types) {
      for (const ZoneId& zone : type.zones) {
        for (const bool spot : {true, false}) {
          const MachineOffering offer{type.name, zone, spot};
          if (!Profile::allowed(*w.job, as_machine(type, offer)) || !available(offer)) continue;
          if (w.zone && *w.zone != zone) continue;
          if (w.wait < type.boot + kWorthwhile) continue;
          const double cost = share_of(w.job->need, type.resources) * type.price_of(spot);
          offers.emplace_back(cost + 0.01 * zone_load(zone), offer);
        }
      }
    }
    std::sort(offers.begin(), offers.end());
    std::optional<ZoneId> zone = w.zone;
    for (std::uint32_t task = 0; task < w.tasks; ++task) {
      auto resources = team_resources.find(w.job->team);
      if (resources != team_resources.end() && !fits(w.job->need, resources->second)) break;
      Virtual* place = nullptr;
      for (Virtual& v : provisioned) {
        if (!fits(w.job->need, v.left) || (zone && v.offer.zone != *zone)) continue;
        const bool suits = std::any_of(offers.begin(), offers.end(),
                                       [&](const auto& o) { return o.second == v.offer; });
        if (suits) {
          place = &v;
          break;
        }
      }
      if (place == nullptr && total < most) {
        for (const auto& entry : offers) {
          const auto& offer = entry.second;
          if (zone && offer.zone != *zone) continue;
          const auto type = std::find_if(types.begin(), types.end(), [&](const MachineType& t) {
            return t.name == offer.machine_type;
          });
          provisioned.push_back({offer, type->resources});
          place = &provisioned.back();
          ++total;
          break;
        }
      }
      if (place == nullptr) break;
      place->left -= w.job->need;
      if (resources != team_resources.end()) resources->second -= w.job->need;
      if (w.job->together) zone = place->offer.zone;
    }
  }
  std::map<MachineOffering, std::uint32_t> out;
  for (const Virtual& v : provisioned) ++out[v.offer];
  return out;
}

}  // namespace marblevale

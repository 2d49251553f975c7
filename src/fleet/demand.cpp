#include "fleet/demand.hpp"

#include <algorithm>

namespace marblevale {

namespace {

// A new machine must save at least this much waiting beyond its boot.
constexpr Span kWorthwhile{5'000};
constexpr std::uint32_t kLeastPerRound = 16;
constexpr double kPerRound = 0.15;  // of the machines that there are

struct Virtual {
  Offer offer;
  Room left;
};

PlanMachine as_machine(const MachineType& type, const Offer& offer) {
  PlanMachine m;
  m.build = type.name;
  m.zone = offer.zone;
  m.spot = offer.spot;
  m.room = type.room;
  return m;
}

}  // namespace

std::map<Offer, std::uint32_t> machines_for(const std::vector<Wanting>& wanting,
                                            const std::vector<MachineType>& types,
                                            const std::function<bool(const Offer&)>& available,
                                            const std::map<ZoneId, std::uint32_t>& in_zone,
                                            std::map<TeamId, Room> team_room) {
  std::vector<Virtual> rented;
  std::uint32_t total = 0;
  double known = 0;
  for (const auto& [zone, n] : in_zone) known += n;
  const auto most = std::max(kLeastPerRound, static_cast<std::uint32_t>(known * kPerRound));
  const auto zone_load = [&](const ZoneId& zone) {
    const auto it = in_zone.find(zone);
    double n = it == in_zone.end() ? 0 : it->second;
    for (const Virtual& v : rented) n += v.offer.zone == zone ? 1 : 0;
    return n;
  };

  for (const Wanting& w : wanting) {
    // Offers that the job allows, the cheapest for its share first; zones are taken in turn.
    std::vector<std::pair<double, Offer>> offers;
    for (const MachineType& type : types) {
      for (const ZoneId& zone : type.zones) {
        for (const bool spot : {true, false}) {
          const Offer offer{type.name, zone, spot};
          if (!Profile::allowed(*w.job, as_machine(type, offer)) || !available(offer)) continue;
          if (w.zone && *w.zone != zone) continue;
          if (w.wait < type.boot + kWorthwhile) continue;
          const double cost = share_of(w.job->need, type.room) * type.price_of(spot);
          offers.emplace_back(cost + 0.01 * zone_load(zone), offer);
        }
      }
    }
    std::sort(offers.begin(), offers.end());
    std::optional<ZoneId> zone = w.zone;
    for (std::uint32_t task = 0; task < w.tasks; ++task) {
      auto room = team_room.find(w.job->crew);
      if (room != team_room.end() && !fits(w.job->need, room->second)) break;
      Virtual* place = nullptr;
      for (Virtual& v : rented) {
        if (!fits(w.job->need, v.left) || (zone && v.offer.zone != *zone)) continue;
        const bool suits = std::any_of(offers.begin(), offers.end(),
                                       [&](const auto& o) { return o.second == v.offer; });
        if (suits) {
          place = &v;
          break;
        }
      }
      if (place == nullptr && total < most) {
        for (const auto& [cost, offer] : offers) {
          if (zone && offer.zone != *zone) continue;
          const auto type = std::find_if(types.begin(), types.end(), [&](const MachineType& t) {
            return t.name == offer.build;
          });
          rented.push_back({offer, type->room});
          place = &rented.back();
          ++total;
          break;
        }
      }
      if (place == nullptr) break;
      place->left -= w.job->need;
      if (room != team_room.end()) room->second -= w.job->need;
      if (w.job->together) zone = place->offer.zone;
    }
  }
  std::map<Offer, std::uint32_t> out;
  for (const Virtual& v : rented) ++out[v.offer];
  return out;
}

}  // namespace marblevale

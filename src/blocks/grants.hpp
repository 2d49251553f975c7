// The leader's leasing of machine blocks: one block per zone, by default to the zone's controller.
#pragma once

#include <map>
#include <set>

#include "app/settings.hpp"
#include "election/election.hpp"
#include "store/mirror.hpp"

namespace marblevale {

class BlockGrants {
 public:
  BlockGrants(Loop& loop, const Clock& clock, const Settings& settings, Mirror& mirror,
              Election& election);

  void begin();
  /// `witness` keeps getting reports from workers of the zone that can't reach the holder.
  void complaint(const ZoneId& zone, const NodeId& witness);

 private:
  void tick();
  [[nodiscard]] std::optional<NodeId> choose(const ZoneId& zone, const BlockRecord* held);
  [[nodiscard]] std::optional<NodeId> home(const ZoneId& zone, const BlockRecord* held) const;

  const Clock& clock_;
  const Settings& settings_;
  Mirror& mirror_;
  Election& election_;
  Stamp term_;  // that the following is of
  Steady charge_since_{};
  std::map<NodeId, std::pair<Nonce, Steady>> alive_since_;
  std::map<ZoneId, std::pair<NodeId, Steady>> complaints_;
  std::map<ZoneId, Steady> moved_;  // forced moves: not home again for a while
  std::set<ZoneId> busy_;
  Timer timer_;
};

}  // namespace marblevale

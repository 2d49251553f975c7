#include "autoscaler/scale_in.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace marblevale {

namespace {

constexpr double kSpareShare = 0.2;  // of the machines that are up
/// Share of the idle timeout after which idle machines beyond the spares are deleted.
constexpr double kSurplusIdleTimeoutShare = 0.4;

struct IdleMachine {
  SteadyTime since;
  MachineId machine_id;
};

}  // namespace

ScaleIn::ScaleIn(const Clock& clock, const Settings& settings, WatchCache& cache,
                 MachineDeletion& deletion)
    : clock_(clock), settings_(settings), cache_(cache), deletion_(deletion) {}

void ScaleIn::observe(const MachineId& machine_id, SteadyTime now) {
  const bool idle =
      !cache_.records().placed.contains(machine_id) && !planned_machines_.contains(machine_id);
  if (idle) {
    idle_since_.try_emplace(machine_id, now);
  } else {
    idle_since_.erase(machine_id);
  }
}

void ScaleIn::forget_out_of_service() {
  const auto& machines = cache_.records().machines;
  std::erase_if(idle_since_, [&](const auto& entry) {
    const auto it = machines.find(entry.first);
    return it == machines.end() || it->second.record.state != MachineState::up;
  });
}

std::size_t ScaleIn::spare_count() const {
  const auto& machines = cache_.records().machines;
  const auto up_machines = std::count_if(machines.begin(), machines.end(), [](const auto& entry) {
    return entry.second.record.state == MachineState::up;
  });
  return static_cast<std::size_t>(std::ceil(static_cast<double>(up_machines) * kSpareShare));
}

void ScaleIn::delete_idle() {
  forget_out_of_service();
  std::vector<IdleMachine> idle;
  for (const auto& [machine_id, since] : idle_since_) idle.push_back({since, machine_id});
  std::sort(idle.begin(), idle.end(), [](const IdleMachine& a, const IdleMachine& b) {
    return std::tie(a.since, a.machine_id) < std::tie(b.since, b.machine_id);
  });
  const std::size_t spare = spare_count();
  const Duration idle_timeout = settings_.tuning.idle_return;
  const Duration surplus_timeout = scaled(idle_timeout, kSurplusIdleTimeoutShare);
  const SteadyTime now = clock_.steady();
  std::size_t remaining = idle.size();
  for (const IdleMachine& machine : idle) {
    const Duration timeout = remaining > spare ? surplus_timeout : idle_timeout;
    if (now - machine.since <= timeout) continue;
    deletion_.request(machine.machine_id, DeletionReason::idle);
    --remaining;
  }
}

}  // namespace marblevale

#include "autoscaler/machine_health.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "autoscaler/failure_attribution.hpp"

namespace marblevale {

namespace {

/// Silence timeouts, as multiples of the worker's lease. When many machines are silent at the same
/// time, they are more likely hung or partitioned than dead (the cloud's list would show dead
/// machines), and replacing them would mean provisioning and booting as many new machines. The
/// timeout is therefore longer from `kMassSilenceMachines` silent machines on.
constexpr double kSilenceTimeoutLeases = 0.8;
constexpr double kMassSilenceTimeoutLeases = 1.2;
constexpr std::size_t kMassSilenceMachines = 10;
/// Covers clock error and the latency of the last answer to the worker.
constexpr Duration kLeaseExpiryMargin{1'000};
constexpr Duration kUnlistedGracePeriod{5'000};   // longer than the clocks' difference
constexpr double kUnrecordedTimeoutFactor = 1.5;  // multiple of the boot timeout

}  // namespace

MachineHealth::MachineHealth(const Clock& clock, const Settings& settings, WatchCache& cache,
                             const MachineInventory& inventory, const MachineTypeCatalog& catalog,
                             MachineDeletion& deletion, MachineWriter& machine_writer)
    : clock_(clock),
      settings_(settings),
      cache_(cache),
      inventory_(inventory),
      catalog_(catalog),
      deletion_(deletion),
      machine_writer_(machine_writer) {}

MachineHealth::ClusterSnapshot MachineHealth::snapshot() const {
  const auto& machines = cache_.records().machines;
  const auto silent_machines = std::count_if(
      machines.begin(), machines.end(),
      [](const auto& entry) { return entry.second.record.state == MachineState::silent; });
  return {clock_.steady(), clock_.wall(), static_cast<std::size_t>(silent_machines),
          failed_jobs_by_suspect(cache_.records())};
}

Availability MachineHealth::check(const MachineRecord& machine, const ClusterSnapshot& snapshot) {
  const MachineId& machine_id = machine.machine_id;
  switch (machine.state) {
    case MachineState::silent:
      if (silence_timed_out(machine, snapshot)) {
        deletion_.request(machine_id, DeletionReason::silent);
      }
      break;
    case MachineState::suspect:
      resolve_suspect(machine, snapshot.failed_jobs_by_suspect.at(machine_id));
      break;
    case MachineState::quarantined:
    case MachineState::draining:
      if (drained(machine_id)) deletion_.request(machine_id, DeletionReason::drained);
      break;
    case MachineState::up:
      if (!up_but_unlisted(machine, snapshot)) return Availability::in_service;
      deletion_.request(machine_id, DeletionReason::up_but_unlisted);
      break;
    case MachineState::deleting:
    case MachineState::gone:
      break;
  }
  return Availability::out_of_service;
}

bool MachineHealth::silence_timed_out(const MachineRecord& machine,
                                      const ClusterSnapshot& snapshot) const {
  // The timeout is skipped if the cloud reports the machine as failed or does not list it any more.
  const MachineInventory::Entry* entry = inventory_.find(machine.machine_id);
  const bool failed = entry != nullptr && entry->machine.status == ProvisioningStatus::failed;
  if (failed || inventory_.missing_since_reset(machine.machine_id)) return true;
  return snapshot.wall_now - machine.since >
         silence_timeout(machine.machine_id, snapshot.silent_machines);
}

Duration MachineHealth::silence_timeout(const MachineId& machine_id,
                                        std::size_t silent_machines) const {
  const Duration lease = settings_.workers.lease;
  const bool mass_silence = silent_machines >= kMassSilenceMachines;
  const Duration timeout =
      scaled(lease, mass_silence ? kMassSilenceTimeoutLeases : kSilenceTimeoutLeases);
  if (!holds_replica(machine_id)) return timeout;
  // The machine's replicas stop when the worker's lease expires, even if the machine is alive. A
  // longer timeout would only delay their restart on other machines.
  const Duration silent_before = scaled(settings_.workers.heartbeat, kSilentHeartbeats);
  const Duration lease_remaining = std::max(Duration{0}, lease - silent_before);
  return std::min(timeout, lease_remaining + kLeaseExpiryMargin);
}

bool MachineHealth::holds_replica(const MachineId& machine_id) const {
  const Records& records = cache_.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return false;
  return std::any_of(placed->second.begin(), placed->second.end(), [&](const auto& entry) {
    const JobRecord* job = records.job(entry.first.job_id);
    return job != nullptr && job->spec.is_service() && !job->cancelled;
  });
}

bool MachineHealth::up_but_unlisted(const MachineRecord& machine,
                                    const ClusterSnapshot& snapshot) const {
  if (!inventory_.missing_since_reset(machine.machine_id)) return false;
  // A late commit may have restored the record of a deleted machine. The shard's holder knows no
  // worker for such a record, so it never reports the machine as silent. The record must be older
  // than the state that the list describes, because a new machine may be missing from a stale list.
  const Duration list_age = snapshot.steady_now - inventory_.last_list_requested_at();
  const Duration up_before_list_state =
      snapshot.wall_now - machine.since - list_age - inventory_.max_list_age();
  return up_before_list_state > kUnlistedGracePeriod;
}

bool MachineHealth::drained(const MachineId& machine_id) const {
  return !cache_.records().placed.contains(machine_id);
}

void MachineHealth::resolve_suspect(const MachineRecord& machine,
                                    const std::set<JobId>& failed_jobs) {
  if (machine_writer_.has_pending_edit(machine.machine_id)) return;
  const WallTime now = clock_.wall();
  const auto resolved = resolve_suspect_state(machine, failed_jobs, cache_.records(), now);
  if (!resolved) return;
  spdlog::info("autoscaler: suspect_resolved machine={} state={}", machine.machine_id.get(),
               name_of(*resolved));
  machine_writer_.edit(machine.machine_id, machine.zone,
                       [state = *resolved, now](MachineRecord& current) {
                         if (current.state != MachineState::suspect) {
                           return MachineWriter::EditAction::none;
                         }
                         current.state = state;
                         current.since = now;
                         current.failed_job = JobId{};
                         return MachineWriter::EditAction::put;
                       });
}

void MachineHealth::check_unrecorded() {
  const auto& machines = cache_.records().machines;
  for (const auto& [machine_id, entry] : inventory_.entries()) {
    if (machines.contains(machine_id)) continue;
    const ListedMachine& machine = entry.machine;
    if (machine.status == ProvisioningStatus::failed) {
      deletion_.request(machine_id, DeletionReason::provisioning_failed);
    }
    const Duration timeout =
        scaled(catalog_.boot_timeout(machine.machine_type), kUnrecordedTimeoutFactor);
    if (machine.age > timeout) deletion_.request(machine_id, DeletionReason::listed_but_unrecorded);
  }
}

}  // namespace marblevale

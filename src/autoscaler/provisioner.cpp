#include "autoscaler/provisioner.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr Duration kInitialCapacityBackoff{8'000};
constexpr Duration kMaxCapacityBackoff{40'000};
constexpr std::uint32_t kMaxMachinesPerRequest = 50;  // the protocol's maximum
constexpr double kExpectedBootFactor = 1.1;           // multiple of the boot time
constexpr Duration kMinExpectedBoot{5'000};           // remaining time assumed for a late boot
constexpr int kRequestRetentionTimeouts = 4;          // multiple of the boot timeout

}  // namespace

Provisioner::Provisioner(const Clock& clock, WatchCache& cache, Election& election, Cloud& cloud,
                         const MachineTypeCatalog& catalog)
    : clock_(clock),
      cache_(cache),
      election_(election),
      cloud_(cloud),
      catalog_(catalog),
      random_(election.incarnation().get()) {}

void Provisioner::reset() {
  in_flight_.clear();
  unmet_demands_.clear();
}

void Provisioner::set_demand(std::vector<UnmetDemand> unmet_demands,
                             std::map<TeamId, Resources> team_resources) {
  unmet_jobs_.clear();
  unmet_demands_ = std::move(unmet_demands);
  for (UnmetDemand& demand : unmet_demands_) {
    demand.job = &unmet_jobs_.emplace(demand.job->job_id, *demand.job).first->second;
  }
  team_resources_ = std::move(team_resources);
}

std::vector<BootingMachine> Provisioner::booting() const {
  std::vector<BootingMachine> booting;
  const Records& records = cache_.records();
  const WallTime now = clock_.wall();
  for (const auto& [name, stored] : records.provisioning_requests) {
    const ProvisioningRequest& request = stored.record;
    for (const MachineId& machine_id : request.machine_ids) {
      if (records.machines.contains(machine_id)) continue;
      const Duration boot = catalog_.boot_time(request.machine_type);
      // A machine whose boot is late is still expected soon, until its boot times out.
      const WallTime expected = std::max(request.requested_at + scaled(boot, kExpectedBootFactor),
                                         now + kMinExpectedBoot);
      booting.push_back({machine_id, request.machine_type, request.zone, request.spot, expected});
    }
  }
  return booting;
}

std::vector<MachineId> Provisioner::overdue_boots() const {
  std::vector<MachineId> overdue;
  const Records& records = cache_.records();
  const WallTime now = clock_.wall();
  for (const auto& [name, stored] : records.provisioning_requests) {
    const ProvisioningRequest& request = stored.record;
    if (now - request.requested_at <= catalog_.boot_timeout(request.machine_type)) continue;
    for (const MachineId& machine_id : request.machine_ids) {
      if (!records.machines.contains(machine_id)) overdue.push_back(machine_id);
    }
  }
  return overdue;
}

bool Provisioner::available(const MachineOffering& offering) const {
  const auto it = capacity_backoffs_.find(offering);
  return it == capacity_backoffs_.end() || it->second.retry_at <= clock_.steady();
}

bool Provisioner::any_unanswered() const {
  const auto& requests = cache_.records().provisioning_requests;
  return std::any_of(requests.begin(), requests.end(),
                     [](const auto& entry) { return !entry.second.record.has_answer; });
}

std::map<ZoneId, std::uint32_t> Provisioner::machines_by_zone() const {
  std::map<ZoneId, std::uint32_t> machines;
  for (const auto& [machine_id, stored] : cache_.records().machines) {
    if (stored.record.state != MachineState::gone) ++machines[stored.record.zone];
  }
  return machines;
}

void Provisioner::retry_unanswered() {
  for (const auto& [name, stored] : cache_.records().provisioning_requests) {
    if (!stored.record.has_answer && !in_flight_.contains(name)) {
      send(stored.record, stored.mod_revision);
    }
  }
}

void Provisioner::scale_out() {
  // Requests are planned only when all earlier ones are answered, because the answers show which
  // machines are coming and which offerings lack capacity.
  if (unmet_demands_.empty() || !cache_.records().types || any_unanswered()) return;
  const std::vector<ProvisioningRequest> requests = plan_requests();
  unmet_demands_.clear();
  for (const ProvisioningRequest& request : requests) commit_request(request);
}

std::vector<ProvisioningRequest> Provisioner::plan_requests() {
  const auto machines_by_offering = plan_scale_out(
      unmet_demands_, cache_.records().types->record,
      [this](const MachineOffering& offering) { return available(offering); }, machines_by_zone(),
      team_resources_);
  const std::string name_prefix = "h-" + std::to_string(election_.term().get()) + "-";
  std::vector<ProvisioningRequest> requests;
  for (const auto& [offering, machine_count] : machines_by_offering) {
    // After a shortage a single request probes the capacity. Each request costs two commits, which
    // add up when the cloud is out of capacity.
    const bool is_probe = capacity_backoffs_.contains(offering);
    std::uint32_t remaining =
        is_probe ? std::min(machine_count, kMaxMachinesPerRequest) : machine_count;
    while (remaining > 0) {
      ProvisioningRequest request;
      request.name = name_prefix + std::to_string(++last_serial_);
      request.machine_type = offering.machine_type;
      request.zone = offering.zone;
      request.spot = offering.spot;
      request.machine_count = std::min(remaining, kMaxMachinesPerRequest);
      request.requested_at = clock_.wall();
      remaining -= request.machine_count;
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

void Provisioner::commit_request(const ProvisioningRequest& request) {
  const std::string key = keys::provisioning_request(request.name);
  Transaction txn;
  election_.guard(txn);
  txn.guard(key, ModRevision{}).put(key, encode(request));
  in_flight_.insert(request.name);
  cache_.commit(RequestPriority::leader_commit, std::move(txn),
                [this, request](const CommitResult& result) {
                  in_flight_.erase(request.name);
                  // If the outcome is unknown but the request was committed, the request appears in
                  // the cache and `retry_unanswered` sends it.
                  if (result.outcome == Outcome::done) {
                    send(request, ModRevision(result.revision.get()));
                  }
                });
}

void Provisioner::send(const ProvisioningRequest& request, ModRevision mod_revision) {
  in_flight_.insert(request.name);
  cloud_.provision(request, [this, request, mod_revision](ProvisioningResult result) {
    handle_result(request, mod_revision, std::move(result));
  });
}

void Provisioner::handle_result(const ProvisioningRequest& request, ModRevision mod_revision,
                                ProvisioningResult result) {
  if (result.outcome == ProvisioningOutcome::unknown) {
    in_flight_.erase(request.name);  // `retry_unanswered` sends it again under the same name
    return;
  }
  spdlog::info(
      "autoscaler: provisioning_answered request={} machine_type={} zone={} spot={} requested={} "
      "provisioned={}",
      request.name, request.machine_type, request.zone.get(), request.spot, request.machine_count,
      result.machine_ids.size());
  update_capacity_backoff(request, result.machine_ids.size());
  commit_answer(request, mod_revision, std::move(result.machine_ids));
}

void Provisioner::update_capacity_backoff(const ProvisioningRequest& request,
                                          std::size_t provisioned) {
  const MachineOffering offering{request.machine_type, request.zone, request.spot};
  if (provisioned >= request.machine_count) {
    capacity_backoffs_.erase(offering);
    return;
  }
  CapacityBackoff& capacity =
      capacity_backoffs_
          .try_emplace(offering,
                       CapacityBackoff{{}, Backoff(kInitialCapacityBackoff, kMaxCapacityBackoff)})
          .first->second;
  capacity.retry_at = clock_.steady() + capacity.backoff.next(random_);
}

void Provisioner::commit_answer(const ProvisioningRequest& request, ModRevision mod_revision,
                                std::vector<MachineId> machine_ids) {
  const std::string key = keys::provisioning_request(request.name);
  Transaction txn;
  election_.guard(txn);
  txn.guard(key, mod_revision);
  if (machine_ids.empty()) {
    txn.remove(key);
  } else {
    ProvisioningRequest answered_request = request;
    answered_request.has_answer = true;
    answered_request.machine_ids = std::move(machine_ids);
    txn.put(key, encode(answered_request));
  }
  cache_.commit(RequestPriority::leader_commit, std::move(txn),
                [this, name = request.name](const CommitResult&) { in_flight_.erase(name); });
}

void Provisioner::remove_completed_requests() {
  const Records& records = cache_.records();
  const WallTime now = clock_.wall();
  const std::size_t max_operations = cache_.max_operations();
  Transaction txn;
  election_.guard(txn);
  for (const auto& [name, stored] : records.provisioning_requests) {
    const ProvisioningRequest& request = stored.record;
    if (txn.deletes.size() >= max_operations || !request.has_answer) continue;
    // While a machine has no record of its own, the request is the only record of that machine and
    // is kept for longer.
    const bool needed = std::any_of(
        request.machine_ids.begin(), request.machine_ids.end(),
        [&](const MachineId& machine_id) { return !records.machines.contains(machine_id); });
    const bool expired = now - request.requested_at >
                         catalog_.boot_timeout(request.machine_type) * kRequestRetentionTimeouts;
    if (needed && !expired) continue;
    const std::string key = keys::provisioning_request(name);
    txn.guard(key, stored.mod_revision).remove(key);
  }
  if (txn.deletes.empty()) return;
  cache_.commit(RequestPriority::leader_commit, std::move(txn), [](const CommitResult&) {});
}

}  // namespace marblevale

#include "autoscaler/autoscaler.hpp"

namespace marblevale {

namespace {

constexpr Duration kReconcileInterval{1000};
constexpr Duration kFirstReconcileDelay{50};

}  // namespace

Autoscaler::Autoscaler(Loop& loop, const Clock& clock, const Settings& settings, WatchCache& cache,
                       Election& election, Cloud& cloud)
    : metrics_(loop.metrics()),
      cache_(cache),
      election_(election),
      machine_writer_(cache, RequestPriority::leader_commit,
                      [this](Transaction& txn, const ZoneId&) {
                        if (!election_.leads_with_fresh_records()) return false;
                        election_.guard(txn);
                        return true;
                      }),
      catalog_(clock, cache, election, cloud),
      inventory_(clock, settings, cloud,
                 [this](const MachineId& machine_id) { delete_vanished(machine_id); }),
      deletion_(clock, cache, election, cloud, inventory_, machine_writer_),
      provisioner_(clock, cache, election, cloud, catalog_),
      health_(clock, settings, cache, inventory_, catalog_, deletion_, machine_writer_),
      scale_in_(clock, settings, cache, deletion_),
      reconcile_timer_(loop, [this] { reconcile(); }) {}

void Autoscaler::begin() { reconcile_timer_.start(kFirstReconcileDelay); }

void Autoscaler::update_demand(std::vector<UnmetDemand> unmet_demands,
                               std::map<TeamId, Resources> team_resources,
                               std::set<MachineId> planned_machines) {
  provisioner_.set_demand(std::move(unmet_demands), std::move(team_resources));
  scale_in_.set_planned_machines(std::move(planned_machines));
}

void Autoscaler::reconcile() {
  reconcile_timer_.start(kReconcileInterval);
  deletion_.delete_overdue_without_record();
  if (!election_.is_established_leader()) {
    term_ = ModRevision{};
    return;
  }
  // The term is compared because another controller may have led between two reconciliations.
  if (term_ != election_.term()) begin_term();
  const auto timed = metrics_.time(Duty::autoscaler);
  deletion_.send_committed();
  if (!election_.leads_with_fresh_records()) {
    // The pending edits were decided on records that may have changed since.
    machine_writer_.discard_all_edits();
    return;
  }
  catalog_.refresh_if_due();
  inventory_.refresh_if_due();
  provisioner_.retry_unanswered();
  check_machines();
  provisioner_.scale_out();
  deletion_.remove_tombstones();
  provisioner_.remove_completed_requests();
  machine_writer_.flush();
}

void Autoscaler::begin_term() {
  term_ = election_.term();
  inventory_.reset();
  scale_in_.reset();
  provisioner_.reset();
  machine_writer_.discard_all_edits();
}

void Autoscaler::delete_vanished(const MachineId& machine_id) {
  // The deletion proves that the machine's tasks have ended, without waiting for the silence
  // timeout.
  if (cache_.records().machines.contains(machine_id)) {
    deletion_.request(machine_id, DeletionReason::no_longer_listed);
  }
}

void Autoscaler::check_machines() {
  const MachineHealth::ClusterSnapshot snapshot = health_.snapshot();
  for (const auto& [machine_id, stored] : cache_.records().machines) {
    const Availability availability = health_.check(stored.record, snapshot);
    if (availability == Availability::in_service) {
      scale_in_.observe(machine_id, snapshot.steady_now);
    }
  }
  scale_in_.delete_idle();
  for (const MachineId& machine_id : provisioner_.overdue_boots()) {
    deletion_.request(machine_id, DeletionReason::boot_timeout);
  }
  health_.check_unrecorded();
}

}  // namespace marblevale

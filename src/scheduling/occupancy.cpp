#include "scheduling/occupancy.hpp"

#include <algorithm>
#include <limits>

namespace marblevale {

namespace {
constexpr Duration kMinRun{5'000};
constexpr Duration kEndTolerance{1'000};  // an estimated end this near counts as reached
constexpr double kOverrunExtensionShare = 0.2;
// Estimated ends are rounded up to this step: timelines with fewer steps are faster to query.
constexpr Duration kPlanningStep{1000};

Owner owner_of(const SliceKey& key) {
  // Bit 62 keeps these owners apart from those of reservations and of tasks started in a round.
  const std::uint64_t hash = std::hash<JobId>{}(key.job_id) * 31 + key.number;
  return Owner{(hash & ~(3ULL << 62)) | (1ULL << 62)};
}
}  // namespace

void ExpectedImages::record_use(const MachineId& machine_id, const ImageId& image, double gb,
                                double cache_gb) {
  note_image(images_[machine_id], image, gb, cache_gb);
}

void ExpectedImages::add_to(ImageSet& images, const MachineId& machine_id) const {
  const auto it = images_.find(machine_id);
  if (it == images_.end()) return;
  for (const auto& [image, gb] : it->second) images.insert(image);
}

WallTime estimated_end(const TaskRecord& task, const JobSpec& job, const Records& records,
                       WallTime now) {
  if (task.stop) return now + std::min(task.stop->grace_period, job.save_time) + kEndTolerance;
  WallTime begin = task.running_since;
  if (begin == WallTime{}) {
    const auto machine = records.machines.find(task.machine_id);
    const MachineType* type = machine == records.machines.end()
                                  ? nullptr
                                  : records.type(machine->second.record.machine_type);
    const double rate = type == nullptr ? 0 : type->pull_gb_per_s;
    begin = task.since + (rate > 0 ? from_seconds(job.image_gb / rate) : Duration{1'000});
  }
  const Duration remaining = std::max(kMinRun, job.estimated_run - task.progress);
  const WallTime end = round_up(begin + remaining, kPlanningStep);
  if (end > now + kEndTolerance) return end;
  const Duration extension =
      round_up(std::max(kMinRun, scaled(job.estimated_run, kOverrunExtensionShare)), kPlanningStep);
  return end + Duration{((now + kEndTolerance - end).count() / extension.count() + 1) *
                        extension.count()};
}

ImageSet Occupancy::images_at(const MachineId& machine_id, const Records& records) const {
  // The machine's record has the images of tasks that ran there. `images_` adds the images that
  // are probably being fetched.
  ImageSet out;
  images_.add_to(out, machine_id);
  if (const auto it = records.machines.find(machine_id); it != records.machines.end()) {
    for (const auto& [image, gb] : it->second.record.images) out.insert(image);
  }
  return out;
}

std::size_t Occupancy::fetches_at(const MachineId& machine_id, const Records& records) {
  const auto placed = records.placed.find(machine_id);
  const auto machine = records.machines.find(machine_id);
  if (placed == records.placed.end() || machine == records.machines.end()) return 0;
  std::set<ImageId> fetching_images;
  // Tasks of one slice follow one another, so their slice and job are looked up once.
  SliceKey key;
  const Versioned<SliceRecord>* slice = nullptr;
  const JobRecord* job = nullptr;
  for (const auto& [id, attempt] : placed->second) {
    const SliceKey task_slice{id.job_id, id.task_index / kSliceTasks};
    if (task_slice != key) {
      key = task_slice;
      slice = records.slice(key.job_id, key.number);
      job = records.job(key.job_id);
    }
    if (slice == nullptr || job == nullptr) continue;
    const TaskRecord& task = slice->record.tasks.at(id.task_index % kSliceTasks);
    if (task.running_since == WallTime{}) fetching_images.insert(job->spec.image);
  }
  for (const auto& [image, gb] : machine->second.record.images) fetching_images.erase(image);
  return fetching_images.size();
}

void Occupancy::mark_slices_on_dirty(const MachineId& machine_id, const Records& records) {
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return;
  for (const auto& [id, attempt] : placed->second)
    dirty_slices_.insert({id.job_id, id.task_index / kSliceTasks});
}

void Occupancy::refresh_images(const MachineId& machine_id, const Records& records) {
  const auto machine = profile_.find(machine_id);
  if (!machine) return;
  profile_.update_machine(*machine, profile_.machines()[*machine].ready,
                          images_at(machine_id, records), fetches_at(machine_id, records));
}

void Occupancy::sync_machine(const MachineId& machine_id, const Records& records, WallTime now) {
  // The machine affects where its tasks are allocated and how long their image fetches take.
  mark_slices_on_dirty(machine_id, records);
  PlanMachine properties;
  const auto record = records.machines.find(machine_id);
  const auto booting_entry = booting_.find(machine_id);
  bool usable = false;
  if (record != records.machines.end()) {
    const MachineRecord& m = record->second.record;
    usable = m.state == MachineState::up && !m.reclaim_at && !unreachable_zones_.contains(m.zone);
    properties.machine_type = m.machine_type;
    properties.zone = m.zone;
    properties.spot = m.spot;
    // A machine that is up has been ready since before now. With `now`, each update would look like
    // a delay of the machine.
    properties.ready = std::min(now, m.since);
  } else if (booting_entry != booting_.end()) {
    usable = true;
    properties.machine_type = booting_entry->second.machine_type;
    properties.zone = booting_entry->second.zone;
    properties.spot = booting_entry->second.spot;
    properties.ready = booting_entry->second.ready;
  }
  const MachineType* type = records.type(properties.machine_type);
  usable = usable && type != nullptr;
  const auto index = profile_.find(machine_id);
  if (!usable) {
    if (!index) return;
    profile_.remove_machine(*index);
    if (record == records.machines.end() ||
        !unreachable_zones_.contains(record->second.record.zone)) {
      images_.forget(machine_id);
    }
    return;
  }
  if (index) {
    profile_.update_machine(*index, properties.ready, images_at(machine_id, records),
                            fetches_at(machine_id, records));
    return;
  }
  properties.machine_id = machine_id;
  properties.price = type->price_of(properties.spot);
  properties.pull_gb_per_s = type->pull_gb_per_s;
  properties.resources = type->resources;
  properties.images = images_at(machine_id, records);
  properties.fetching = fetches_at(machine_id, records);
  profile_.add_machine(std::move(properties));
}

void Occupancy::sync_slice(const SliceKey& key, const Records& records,
                           const PendingSlices& pending, WallTime now) {
  profile_.release(owner_of(key));
  if (const auto old = earliest_end_of_slice_.find(key); old != earliest_end_of_slice_.end()) {
    earliest_ends_.erase({old->second, key});
    earliest_end_of_slice_.erase(old);
  }
  if (const auto old = machines_of_slice_.find(key); old != machines_of_slice_.end()) {
    machines_to_refresh_.insert(old->second.begin(), old->second.end());
    machines_of_slice_.erase(old);
  }
  const auto pending_entry = pending.find(key);
  const auto* stored = records.slice(key.job_id, key.number);
  const SliceRecord* slice = pending_entry != pending.end() ? pending_entry->second.slice
                             : stored != nullptr            ? &stored->record
                                                            : nullptr;
  const JobRecord* job = records.job(key.job_id);
  if (slice == nullptr || job == nullptr) return;
  const JobSpec& spec = job->spec;
  WallTime earliest_end = WallTime::max();
  Plan running;
  for (const TaskRecord& task : slice->tasks) {
    if (!task.placed()) continue;
    const WallTime end = estimated_end(task, spec, records, now);
    earliest_end = std::min(earliest_end, end);
    machines_of_slice_[key].insert(task.machine_id);
    machines_to_refresh_.insert(task.machine_id);
    if (const auto machine = profile_.find(task.machine_id)) {
      running.placements.push_back({*machine, WallTime{}, end});
      const MachineType* type = records.type(profile_.machines()[*machine].machine_type);
      if (task.state == TaskState::bound && type != nullptr) {
        images_.record_use(task.machine_id, spec.image, spec.image_gb, type->cache_gb);
      }
    } else {
      profile_.allocate_team(spec.team, {WallTime{}, end, spec.need, owner_of(key)});
    }
  }
  if (!running.placements.empty()) profile_.allocate(running, spec, owner_of(key));
  if (machines_of_slice_.contains(key)) {
    earliest_end_of_slice_[key] = earliest_end;
    earliest_ends_.emplace(earliest_end, key);
  }
}

void Occupancy::set_unreachable_zones(const std::set<ZoneId>& zones, const Records& records) {
  if (zones == unreachable_zones_) return;
  for (const auto& [machine_id, machine] : records.machines) {
    const ZoneId& zone = machine.record.zone;
    if (zones.contains(zone) != unreachable_zones_.contains(zone))
      dirty_machines_.insert(machine_id);
  }
  unreachable_zones_ = zones;
}

bool Occupancy::uses_dirty_machine(const SliceKey& key) const {
  const auto machines = machines_of_slice_.find(key);
  return machines != machines_of_slice_.end() &&
         std::any_of(
             machines->second.begin(), machines->second.end(),
             [this](const MachineId& machine) { return dirty_machines_.contains(machine); });
}

void Occupancy::mark_pending_dirty(const PendingSlices& pending) {
  // The open changes of a wide gang stay for many rounds, so a slice is read again only if its
  // change is another one, or if a machine has entered or left the profile.
  std::map<SliceKey, std::uint64_t> changes;
  for (const auto& [key, open] : pending) {
    changes.emplace_hint(changes.end(), key, open.change);
    const auto last = last_pending_.find(key);
    const bool same =
        last != last_pending_.end() && open.change != 0 && last->second == open.change;
    if (!same || uses_dirty_machine(key)) dirty_slices_.insert(key);
  }
  // An open change that has ended may have been recorded or dropped.
  for (const auto& [key, change] : last_pending_) {
    if (!changes.contains(key)) dirty_slices_.insert(key);
  }
  last_pending_ = std::move(changes);
}

void Occupancy::sync(const Records& records, const std::vector<Team>& teams,
                     const PendingSlices& pending, const std::vector<BootingMachine>& booting,
                     WallTime now) {
  if (rebuild_) {
    rebuild_ = false;
    profile_ = Profile{};
    for (const Team& team : teams) profile_.add_team(team.name, team.limit());
    machines_of_slice_.clear();
    earliest_ends_.clear();
    earliest_end_of_slice_.clear();
    last_pending_.clear();
    for (const auto& [machine_id, machine] : records.machines) dirty_machines_.insert(machine_id);
    for (const auto& [machine_id, machine] : booting_) dirty_machines_.insert(machine_id);
    for (const auto& [key, slice] : records.slices) dirty_slices_.insert(key);
  }
  std::map<MachineId, BootingMachine> new_booting;
  for (const BootingMachine& b : booting) new_booting.emplace(b.machine_id, b);
  for (const auto& [machine_id, b] : booting_) {
    if (!new_booting.contains(machine_id)) dirty_machines_.insert(machine_id);
  }
  for (const auto& [machine_id, b] : new_booting) {
    const auto known = booting_.find(machine_id);
    if (known == booting_.end() || known->second.ready != b.ready)
      dirty_machines_.insert(machine_id);
  }
  booting_ = std::move(new_booting);
  mark_pending_dirty(pending);
  while (!earliest_ends_.empty() && earliest_ends_.begin()->first <= now + kEndTolerance) {
    dirty_slices_.insert(earliest_ends_.begin()->second);
    earliest_end_of_slice_.erase(earliest_ends_.begin()->second);
    earliest_ends_.erase(earliest_ends_.begin());
  }
  for (const MachineId& machine_id : dirty_machines_) sync_machine(machine_id, records, now);
  for (const SliceKey& key : dirty_slices_) sync_slice(key, records, pending, now);
  for (const MachineId& machine_id : machines_to_refresh_) refresh_images(machine_id, records);
  dirty_machines_.clear();
  dirty_slices_.clear();
  machines_to_refresh_.clear();
}

}  // namespace marblevale

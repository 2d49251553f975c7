#include "scheduling/occupancy.hpp"

#include <algorithm>
#include <limits>

namespace marblevale {

namespace {
constexpr Duration kMinRun{5'000};
constexpr Duration kReached{1'000};  // an end this near has been reached
constexpr double kStretch = 0.2;
constexpr Duration kPlanningStep{1000};  // of ends: fewer steps make timelines quicker to ask

Owner owner_of(const SliceKey& key) {
  // Apart from the owners of reservations and starts by its second bit.
  const std::uint64_t hash = std::hash<JobId>{}(key.job_id) * 31 + key.number;
  return Owner{(hash & ~(3ULL << 62)) | (1ULL << 62)};
}
}  // namespace

void ExpectedImages::used(const MachineId& machine_id, const ImageId& image, double gb,
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
  if (task.stop) return now + std::min(task.stop->grace_period, job.save_time) + kReached;
  WallTime begin = task.running;
  if (begin == WallTime{}) {
    const auto machine = records.machines.find(task.machine_id);
    const MachineType* type = machine == records.machines.end()
                                  ? nullptr
                                  : records.type(machine->second.record.machine_type);
    const double rate = type == nullptr ? 0 : type->pull_gb_per_s;
    begin = task.since + (rate > 0 ? from_seconds(job.image_gb / rate) : Duration{1'000});
  }
  const Duration left = std::max(kMinRun, job.estimated_run - task.progress);
  const WallTime end = round_up(begin + left, kPlanningStep);
  if (end > now + kReached) return end;
  const Duration step =
      round_up(std::max(kMinRun, scaled(job.estimated_run, kStretch)), kPlanningStep);
  return end + Duration{((now + kReached - end).count() / step.count() + 1) * step.count()};
}

ImageSet Occupancy::images_at(const MachineId& machine_id, const Records& records) const {
  // The record has what ran there; the guess adds what is being fetched.
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
  std::set<ImageId> coming;
  // Tasks of one slice follow one another: what they share is looked up once.
  SliceKey key;
  const Versioned<SliceRecord>* slice = nullptr;
  const JobRecord* job = nullptr;
  for (const auto& [id, attempt] : placed->second) {
    const SliceKey of_task{id.job_id, id.task_index / kSliceTasks};
    if (of_task != key) {
      key = of_task;
      slice = records.slice(key.job_id, key.number);
      job = records.job(key.job_id);
    }
    if (slice == nullptr || job == nullptr) continue;
    const TaskRecord& task = slice->record.tasks.at(id.task_index % kSliceTasks);
    if (task.running == WallTime{}) coming.insert(job->spec.image);
  }
  for (const auto& [image, gb] : machine->second.record.images) coming.erase(image);
  return coming.size();
}

void Occupancy::mark_slices_on_dirty(const MachineId& machine_id, const Records& records) {
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return;
  for (const auto& [id, attempt] : placed->second)
    slices_.insert({id.job_id, id.task_index / kSliceTasks});
}

void Occupancy::refresh_images(const MachineId& machine_id, const Records& records) {
  const auto machine = profile_.find(machine_id);
  if (!machine) return;
  profile_.update_machine(*machine, profile_.machines()[*machine].ready,
                          images_at(machine_id, records), fetches_at(machine_id, records));
}

void Occupancy::sync_machine(const MachineId& machine_id, const Records& records, WallTime now) {
  mark_slices_on_dirty(machine_id, records);  // where they count, and how long their fetch takes
  PlanMachine wanted;
  const auto record = records.machines.find(machine_id);
  const auto coming = booting_.find(machine_id);
  bool usable = false;
  if (record != records.machines.end()) {
    const MachineRecord& m = record->second.record;
    usable = m.state == MachineState::up && !m.reclaim_at && !unreachable_zones_.contains(m.zone);
    wanted.machine_type = m.machine_type;
    wanted.zone = m.zone;
    wanted.spot = m.spot;
    // Up since long: the present moment would look like a delay at each change.
    wanted.ready = std::min(now, m.since);
  } else if (coming != booting_.end()) {
    usable = true;
    wanted.machine_type = coming->second.machine_type;
    wanted.zone = coming->second.zone;
    wanted.spot = coming->second.spot;
    wanted.ready = coming->second.ready;
  }
  const MachineType* type = records.type(wanted.machine_type);
  usable = usable && type != nullptr;
  const auto there = profile_.find(machine_id);
  if (!usable) {
    if (!there) return;
    profile_.remove_machine(*there);
    if (record == records.machines.end() ||
        !unreachable_zones_.contains(record->second.record.zone)) {
      images_.forget(machine_id);
    }
    return;
  }
  if (there) {
    profile_.update_machine(*there, wanted.ready, images_at(machine_id, records),
                            fetches_at(machine_id, records));
    return;
  }
  wanted.machine_id = machine_id;
  wanted.price = type->price_of(wanted.spot);
  wanted.pull_gb_per_s = type->pull_gb_per_s;
  wanted.resources = type->resources;
  wanted.images = images_at(machine_id, records);
  wanted.fetching = fetches_at(machine_id, records);
  profile_.add_machine(std::move(wanted));
}

void Occupancy::sync_slice(const SliceKey& key, const Records& records, const Slices& pending,
                           WallTime now) {
  profile_.release(owner_of(key));
  if (const auto old = end_of_.find(key); old != end_of_.end()) {
    ends_.erase({old->second, key});
    end_of_.erase(old);
  }
  if (const auto old = on_.find(key); old != on_.end()) {
    fetching_.insert(old->second.begin(), old->second.end());
    on_.erase(old);
  }
  const auto ahead = pending.find(key);
  const auto* stored = records.slice(key.job_id, key.number);
  const SliceRecord* slice = ahead != pending.end() ? ahead->second
                             : stored != nullptr    ? &stored->record
                                                    : nullptr;
  const JobRecord* job = records.job(key.job_id);
  if (slice == nullptr || job == nullptr) return;
  const JobSpec& spec = job->spec;
  WallTime first = WallTime::max();
  Plan running;
  for (const TaskRecord& task : slice->tasks) {
    if (!task.placed()) continue;
    const WallTime end = estimated_end(task, spec, records, now);
    first = std::min(first, end);
    on_[key].insert(task.machine_id);
    fetching_.insert(task.machine_id);
    if (const auto machine = profile_.find(task.machine_id)) {
      running.placements.push_back({*machine, WallTime{}, end});
      const MachineType* type = records.type(profile_.machines()[*machine].machine_type);
      if (task.state == TaskState::bound && type != nullptr) {
        images_.used(task.machine_id, spec.image, spec.image_gb, type->cache_gb);
      }
    } else {
      profile_.allocate_team(spec.team, {WallTime{}, end, spec.need, owner_of(key)});
    }
  }
  if (!running.placements.empty()) profile_.allocate(running, spec, owner_of(key));
  if (on_.contains(key)) {
    end_of_[key] = first;
    ends_.emplace(first, key);
  }
}

void Occupancy::set_unreachable_zones(const std::set<ZoneId>& zones, const Records& records) {
  if (zones == unreachable_zones_) return;
  for (const auto& [machine_id, machine] : records.machines) {
    const ZoneId& zone = machine.record.zone;
    if (zones.contains(zone) != unreachable_zones_.contains(zone)) machines_.insert(machine_id);
  }
  unreachable_zones_ = zones;
}

void Occupancy::sync(const Records& records, const std::vector<Team>& teams, const Slices& pending,
                     const std::vector<BootingMachine>& booting, WallTime now) {
  if (rebuild_) {
    rebuild_ = false;
    profile_ = Profile{};
    for (const Team& team : teams) profile_.add_team(team.name, team.limit());
    on_.clear();
    ends_.clear();
    end_of_.clear();
    for (const auto& [machine_id, machine] : records.machines) machines_.insert(machine_id);
    for (const auto& [machine_id, machine] : booting_) machines_.insert(machine_id);
    for (const auto& [key, slice] : records.slices) slices_.insert(key);
  }
  std::map<MachineId, BootingMachine> coming;
  for (const BootingMachine& b : booting) coming.emplace(b.machine_id, b);
  for (const auto& [machine_id, b] : booting_) {
    if (!coming.contains(machine_id)) machines_.insert(machine_id);
  }
  for (const auto& [machine_id, b] : coming) {
    const auto known = booting_.find(machine_id);
    if (known == booting_.end() || known->second.ready != b.ready) machines_.insert(machine_id);
  }
  booting_ = std::move(coming);
  // What is pending now, and what no longer is.
  for (const SliceKey& key : pending_) slices_.insert(key);
  pending_.clear();
  for (const auto& [key, slice] : pending) {
    pending_.insert(key);
    slices_.insert(key);
  }
  while (!ends_.empty() && ends_.begin()->first <= now + kReached) {
    slices_.insert(ends_.begin()->second);
    end_of_.erase(ends_.begin()->second);
    ends_.erase(ends_.begin());
  }
  for (const MachineId& machine_id : machines_) sync_machine(machine_id, records, now);
  for (const SliceKey& key : slices_) sync_slice(key, records, pending, now);
  for (const MachineId& machine_id : fetching_) refresh_images(machine_id, records);
  machines_.clear();
  slices_.clear();
  fetching_.clear();
}

}  // namespace marblevale

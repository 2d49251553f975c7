#include "planner/occupancy.hpp"

#include <algorithm>
#include <limits>

namespace marblevale {

namespace {
constexpr Span kLeastRun{5'000};
constexpr Span kReached{1'000};  // an end this near has been reached
constexpr double kStretch = 0.2;

Owner owner_of(const SliceKey& key) {
  // Apart from the owners of reservations and starts by its second bit.
  const std::uint64_t hash = std::hash<Uid>{}(key.first) * 31 + key.second;
  return Owner{(hash & ~(3ULL << 62)) | (1ULL << 62)};
}
}  // namespace

void ImageGuess::used(const HostId& host, const ImageId& image, double gb, double cache_gb) {
  note_image(images_[host], image, gb, cache_gb);
}

std::set<ImageId> ImageGuess::of(const HostId& host) const {
  std::set<ImageId> out;
  const auto it = images_.find(host);
  if (it == images_.end()) return out;
  for (const auto& [image, gb] : it->second) out.insert(image);
  return out;
}

Wall likely_end(const TaskRecord& task, const JobSpec& job, const Records& records, Wall now) {
  if (task.stop) return now + std::min(task.stop->leeway, job.stash) + kReached;
  Wall begin = task.running;
  if (begin.ms == 0) {
    const auto machine = records.machines.find(task.host);
    const MachineType* type =
        machine == records.machines.end() ? nullptr : records.type(machine->second.record.build);
    const double rate = type == nullptr ? 0 : type->pull_gb_per_s;
    begin = task.since + (rate > 0 ? from_seconds(job.image_gb / rate) : Span{1'000});
  }
  const Wall end = begin + std::max(kLeastRun, job.expect - task.progress);
  if (end > now + kReached) return end;
  const Span step = std::max(kLeastRun, job.expect * kStretch);
  return end + Span{((now + kReached - end).ms / step.ms + 1) * step.ms};
}

std::set<ImageId> Occupancy::images_at(const HostId& host, const Records& records) const {
  // The record has what ran there; the guess adds what is being fetched.
  std::set<ImageId> out = images_.of(host);
  if (const auto it = records.machines.find(host); it != records.machines.end()) {
    for (const auto& [image, gb] : it->second.record.images) out.insert(image);
  }
  return out;
}

std::size_t Occupancy::fetches_at(const HostId& host, const Records& records) const {
  const auto placed = records.placed.find(host);
  const auto machine = records.machines.find(host);
  if (placed == records.placed.end() || machine == records.machines.end()) return 0;
  std::set<ImageId> coming;
  for (const auto& [id, attempt] : placed->second) {
    const TaskRecord* task = records.task(id);
    const JobRecord* job = records.job(id.uid);
    if (task != nullptr && job != nullptr && task->running.ms == 0) coming.insert(job->spec.bundle);
  }
  for (const auto& [image, gb] : machine->second.record.images) coming.erase(image);
  return coming.size();
}

void Occupancy::touch_tasks_on(const HostId& host, const Records& records) {
  const auto placed = records.placed.find(host);
  if (placed == records.placed.end()) return;
  for (const auto& [id, attempt] : placed->second) slices_.insert({id.uid, id.part / kSliceTasks});
}

void Occupancy::refresh_images(const HostId& host, const Records& records) {
  const auto machine = profile_.find(host);
  if (!machine) return;
  profile_.update_machine(*machine, profile_.machines()[*machine].ready, images_at(host, records),
                          fetches_at(host, records));
}

void Occupancy::sync_machine(const HostId& host, const Records& records, Wall now) {
  touch_tasks_on(host, records);  // where they count, and how long their fetch takes
  PlanMachine wanted;
  const auto record = records.machines.find(host);
  const auto coming = booting_.find(host);
  bool usable = false;
  if (record != records.machines.end()) {
    const MachineRecord& m = record->second.record;
    usable = m.state == MachineState::up && !m.recall && !dark_.contains(m.zone);
    wanted.build = m.build;
    wanted.zone = m.zone;
    wanted.spot = m.spot;
    // Up since long: the present moment would look like a delay at each change.
    wanted.ready = std::min(now, m.since);
  } else if (coming != booting_.end()) {
    usable = true;
    wanted.build = coming->second.build;
    wanted.zone = coming->second.zone;
    wanted.spot = coming->second.spot;
    wanted.ready = coming->second.ready;
  }
  const MachineType* type = records.type(wanted.build);
  usable = usable && type != nullptr;
  const auto there = profile_.find(host);
  if (!usable) {
    if (!there) return;
    profile_.remove_machine(*there);
    if (record == records.machines.end() || !dark_.contains(record->second.record.zone)) {
      images_.forget(host);
    }
    return;
  }
  if (there) {
    profile_.update_machine(*there, wanted.ready, images_at(host, records),
                            fetches_at(host, records));
    return;
  }
  wanted.host = host;
  wanted.price = type->price_of(wanted.spot);
  wanted.pull_gb_per_s = type->pull_gb_per_s;
  wanted.room = type->room;
  wanted.images = images_at(host, records);
  wanted.fetching = fetches_at(host, records);
  profile_.add_machine(std::move(wanted));
}

void Occupancy::sync_slice(const SliceKey& key, const Records& records, const Slices& pending,
                           Wall now) {
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
  const auto* stored = records.slice(key.first, key.second);
  const SliceRecord* slice = ahead != pending.end() ? ahead->second
                             : stored != nullptr    ? &stored->record
                                                    : nullptr;
  const JobRecord* job = records.job(key.first);
  if (slice == nullptr || job == nullptr) return;
  const JobSpec& spec = job->spec;
  Wall first{std::numeric_limits<std::int64_t>::max()};
  for (const TaskRecord& task : slice->tasks) {
    if (!task.placed()) continue;
    const Taken taken{Wall{0}, likely_end(task, spec, records, now), spec.need, owner_of(key)};
    first = std::min(first, taken.to);
    on_[key].insert(task.host);
    fetching_.insert(task.host);
    if (const auto machine = profile_.find(task.host)) {
      profile_.take(*machine, spec.crew, taken);
      const MachineType* type = records.type(profile_.machines()[*machine].build);
      if (task.state == TaskState::bound && type != nullptr) {
        images_.used(task.host, spec.bundle, spec.image_gb, type->cache_gb);
      }
    } else {
      profile_.take_team(spec.crew, taken);
    }
  }
  if (on_.contains(key)) {
    end_of_[key] = first;
    ends_.emplace(first, key);
  }
}

void Occupancy::set_dark(const std::set<ZoneId>& zones, const Records& records) {
  if (zones == dark_) return;
  for (const auto& [host, machine] : records.machines) {
    const ZoneId& zone = machine.record.zone;
    if (zones.contains(zone) != dark_.contains(zone)) machines_.insert(host);
  }
  dark_ = zones;
}

void Occupancy::sync(const Records& records, const std::vector<Team>& teams, const Slices& pending,
                     const std::vector<Booting>& booting, Wall now) {
  if (whole_) {
    whole_ = false;
    profile_ = Profile{};
    for (const Team& team : teams) profile_.set_team(team.name, team.limit());
    on_.clear();
    ends_.clear();
    end_of_.clear();
    for (const auto& [host, machine] : records.machines) machines_.insert(host);
    for (const auto& [host, machine] : booting_) machines_.insert(host);
    for (const auto& [key, slice] : records.slices) slices_.insert(key);
  }
  std::map<HostId, Booting> coming;
  for (const Booting& b : booting) coming.emplace(b.host, b);
  for (const auto& [host, b] : booting_) {
    if (!coming.contains(host)) machines_.insert(host);
  }
  for (const auto& [host, b] : coming) {
    const auto known = booting_.find(host);
    if (known == booting_.end() || known->second.ready != b.ready) machines_.insert(host);
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
  for (const HostId& host : machines_) sync_machine(host, records, now);
  for (const SliceKey& key : slices_) sync_slice(key, records, pending, now);
  for (const HostId& host : fetching_) refresh_images(host, records);
  machines_.clear();
  slices_.clear();
  fetching_.clear();
}

}  // namespace marblevale

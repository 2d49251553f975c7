#include "app/startup_times.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {

constexpr int kFirstServerError = 500;

const char* name_of(StartupMilestone milestone) {
  switch (milestone) {
    case StartupMilestone::user_answered:
      return "first user answered";
    case StartupMilestone::task_bound:
      return "first task bound";
    case StartupMilestone::last_shard_held:
      return "last shard held";
  }
  return "";
}

}  // namespace

StartupTimes::StartupTimes(const Clock& clock, const Settings& settings, WatchCache& cache,
                           ProcessIncarnation incarnation)
    : clock_(clock),
      settings_(settings),
      cache_(cache),
      incarnation_(incarnation),
      started_at_(clock.steady()),
      started_at_wall_(clock.wall()) {
  cache_.listen([this](RecordKind kind, const std::string& key) {
    if (kind == RecordKind::slice) on_slice_changed(key);
    if (kind == RecordKind::shard) on_shard_changed(ZoneId(key));
  });
}

std::optional<Duration> StartupTimes::time_to(StartupMilestone milestone) const {
  return milestone_times_.at(static_cast<std::size_t>(milestone));
}

void StartupTimes::record_milestone(StartupMilestone milestone, const std::string& details) {
  auto& milestone_time = milestone_times_.at(static_cast<std::size_t>(milestone));
  if (milestone_time) return;
  milestone_time = clock_.steady() - started_at_;
  spdlog::info("startup: {} after_ms={}{}", name_of(milestone), milestone_time->count(), details);
}

void StartupTimes::on_user_answered(int status) {
  if (status >= kFirstServerError) return;
  record_milestone(StartupMilestone::user_answered);
}

bool StartupTimes::held_by_this_process(const ZoneId& zone) const {
  const auto shard = cache_.records().shards.find(zone);
  return shard != cache_.records().shards.end() && shard->second.record.holder == settings_.node &&
         shard->second.record.incarnation == incarnation_;
}

void StartupTimes::on_slice_changed(const std::string& key) {
  if (time_to(StartupMilestone::task_bound)) return;
  const auto slice_key = parse_slice_name(key);
  if (!slice_key) return;
  const auto* slice = cache_.records().slice(slice_key->job_id, slice_key->number);
  if (slice == nullptr) return;
  const auto& tasks = slice->record.tasks;
  // The first load of the records also reports bindings from before the start of this process.
  const bool bound = std::any_of(tasks.begin(), tasks.end(), [this](const TaskRecord& task) {
    return task.state == TaskState::bound && task.since >= started_at_wall_ &&
           held_by_this_process(task.zone);
  });
  if (bound) record_milestone(StartupMilestone::task_bound);
}

bool StartupTimes::all_shards_held() const {
  const Records& records = cache_.records();
  return std::all_of(settings_.zones.begin(), settings_.zones.end(), [&](const ZoneId& zone) {
    const auto shard = records.shards.find(zone);
    return shard != records.shards.end() &&
           records.alive(shard->second.record.holder, shard->second.record.incarnation);
  });
}

void StartupTimes::on_shard_changed(const ZoneId& zone) {
  if (!held_by_this_process(zone) || !all_shards_held()) return;
  record_milestone(StartupMilestone::last_shard_held, " zone=" + zone.get());
}

}  // namespace marblevale

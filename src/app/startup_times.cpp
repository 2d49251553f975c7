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
      started_(clock.steady()),
      started_wall_(clock.wall()) {
  cache_.listen([this](RecordKind kind, const std::string& key) {
    if (kind == RecordKind::slice) on_slice_changed(key);
    if (kind == RecordKind::shard) on_shard_changed(ZoneId(key));
  });
}

std::optional<Duration> StartupTimes::after(StartupMilestone milestone) const {
  return reached_.at(static_cast<std::size_t>(milestone));
}

void StartupTimes::reach(StartupMilestone milestone, const std::string& details) {
  auto& reached = reached_.at(static_cast<std::size_t>(milestone));
  if (reached) return;
  reached = clock_.steady() - started_;
  spdlog::info("startup: {} after_ms={}{}", name_of(milestone), reached->count(), details);
}

void StartupTimes::user_answered(int status) {
  if (status >= kFirstServerError) return;
  reach(StartupMilestone::user_answered);
}

bool StartupTimes::held_here(const ZoneId& zone) const {
  const auto shard = cache_.records().shards.find(zone);
  return shard != cache_.records().shards.end() && shard->second.record.holder == settings_.node &&
         shard->second.record.incarnation == incarnation_;
}

void StartupTimes::on_slice_changed(const std::string& key) {
  if (after(StartupMilestone::task_bound)) return;
  const auto slash = key.find('/');
  const auto number = static_cast<std::uint32_t>(std::stoul(key.substr(slash + 1)));
  const auto* slice = cache_.records().slice(JobId(key.substr(0, slash)), number);
  if (slice == nullptr) return;
  const auto& tasks = slice->record.tasks;
  // The first load of the records also reports bindings from before the start.
  const bool bound = std::any_of(tasks.begin(), tasks.end(), [this](const TaskRecord& task) {
    return task.state == TaskState::bound && task.since >= started_wall_ && held_here(task.zone);
  });
  if (bound) reach(StartupMilestone::task_bound);
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
  if (!held_here(zone) || !all_shards_held()) return;
  reach(StartupMilestone::last_shard_held, " zone=" + zone.get());
}

}  // namespace marblevale

// Functions that build records, write them to the scripted state service and read them back.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/scripted_store.hpp"

namespace marblevale::testing {

/// Decodes the record in `text`; returns none if that fails.
template <typename Record>
std::optional<Record> decode_record(const std::string& text) {
  json::Document doc;
  Record record;
  if (!json::parse(doc, text) || !decode(doc, record)) return std::nullopt;
  return record;
}

/// The record under the key in the state service; none if the key does not exist or its value can't
/// be decoded.
template <typename Record>
std::optional<Record> stored_record(const ScriptedStore& store, const std::string& key) {
  const auto entry = store.get(key);
  return entry ? decode_record<Record>(entry->value) : std::nullopt;
}

inline JobRecord job_record(const JobSpec& spec, WallTime accepted,
                            std::optional<WallTime> cancelled = std::nullopt) {
  return JobRecord{spec, accepted, cancelled};
}

inline SliceRecord slice_record(const JobId& job_id, std::vector<TaskRecord> tasks) {
  SliceRecord slice;
  slice.job_id = job_id;
  slice.tasks = std::move(tasks);
  return slice;
}

/// A machine of the type `g8` in the state `up`.
inline MachineRecord machine_record(const std::string& machine_id, WallTime since,
                                    const std::string& zone = "a") {
  MachineRecord machine;
  machine.machine_id = MachineId(machine_id);
  machine.machine_type = "g8";
  machine.zone = ZoneId(zone);
  machine.since = since;
  return machine;
}

/// A task in its first attempt that is placed on the machine.
inline TaskRecord placed_task(const std::string& machine_id, TaskState state) {
  TaskRecord task;
  task.state = state;
  task.attempt = Attempt(1);
  task.zone = ZoneId("a");
  task.machine_id = MachineId(machine_id);
  return task;
}

/// A task that is bound to the machine under the worker's first epoch.
inline TaskRecord bound_task(const std::string& machine_id) {
  TaskRecord task = placed_task(machine_id, TaskState::bound);
  task.epoch = WorkerEpoch(1);
  return task;
}

inline ModRevision put_job(ScriptedStore& store, const JobSpec& spec, WallTime accepted,
                           std::optional<WallTime> cancelled = std::nullopt) {
  return store.put(keys::job(spec.job_id), encode(job_record(spec, accepted, cancelled)));
}

inline void put_slice(ScriptedStore& store, const SliceRecord& slice) {
  store.put(keys::slice(slice.job_id, slice.number), encode(slice));
}

/// The tasks of the job's first slice; empty if the job has no slice.
inline std::vector<TaskRecord> stored_tasks(const ScriptedStore& store, const std::string& job_id) {
  const auto slice = stored_record<SliceRecord>(store, keys::slice(JobId(job_id), 0));
  return slice ? slice->tasks : std::vector<TaskRecord>{};
}

/// True when the records bind the task ("job/index") to the machine under this attempt, and its job
/// has not ended.
inline bool is_bound(const ScriptedStore& store, const std::string& task_id, std::uint64_t attempt,
                     const std::string& machine_id) {
  const auto slash = task_id.find('/');
  const JobId job_id(task_id.substr(0, slash));
  const auto index = static_cast<std::uint32_t>(std::stoul(task_id.substr(slash + 1)));
  if (!store.get(keys::job(job_id))) return false;
  const auto slice = stored_record<SliceRecord>(store, keys::slice(job_id, index / kSliceTasks));
  if (!slice) return false;
  const TaskRecord& task = slice->tasks.at(index % kSliceTasks);
  return task.state == TaskState::bound && task.machine_id == MachineId(machine_id) &&
         task.attempt == Attempt(attempt);
}

/// Marks the job as cancelled, as another controller would. Does nothing if the job has no record.
inline void cancel_job(ScriptedStore& store, const std::string& job_id, WallTime at) {
  const std::string key = keys::job(JobId(job_id));
  auto job = stored_record<JobRecord>(store, key);
  if (!job) return;
  job->cancelled = at;
  store.put(key, encode(*job));
}

}  // namespace marblevale::testing

// What workers say (POST /hello, and the answers of /orders) and what they are told.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

struct TaskId {
  JobId job_id;
  std::uint32_t task_index = 0;
  auto operator<=>(const TaskId&) const = default;
  [[nodiscard]] std::string str() const { return job_id.get() + "/" + std::to_string(task_index); }
};

std::optional<TaskId> parse_task_id(std::string_view text);

enum class TaskStatus { fetching, gathering, running, flushing, ended };

struct ReportedTask {
  TaskId id;
  Attempt attempt;
  TaskStatus status = TaskStatus::fetching;
  std::string cause;  // of an ended task
  bool saved = false;
};

struct WorkerHeartbeat {
  MachineId machine_id;
  std::string address;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  WorkerEpoch epoch;
  HeartbeatSequence sequence;
  FencingToken token;
  std::optional<Duration> reclaim_in;
  std::vector<ReportedTask> tasks;
};

std::optional<WorkerHeartbeat> parse_worker_heartbeat(std::string_view body);

enum class Verb { start, kill, clear };

struct Order {
  Verb verb = Verb::start;
  TaskId id;
  Attempt attempt;
  Duration grace_period{};  // of a kill
};

/// The answer to a heartbeat.
std::string write_answer(FencingToken token, const std::vector<Order>& orders);
/// The answer to a heartbeat that belongs to another controller, which holds the shard.
std::string write_redirect(const NodeId& holder);
/// The body of POST /orders.
std::string write_direct(FencingToken token, WorkerEpoch epoch, const std::vector<Order>& orders);

}  // namespace marblevale

template <>
struct std::hash<marblevale::TaskId> {
  std::size_t operator()(const marblevale::TaskId& id) const noexcept {
    return std::hash<marblevale::JobId>{}(id.job_id) * 31 + id.task_index;
  }
};

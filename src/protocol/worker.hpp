/// Codecs of the workers' API: heartbeats (POST /hello, and the answers to POST /orders) and the
/// orders to workers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Identifies one task of a job. The protocol writes it as "JOB/INDEX".
struct TaskId {
  JobId job_id;
  std::uint32_t task_index = 0;
  auto operator<=>(const TaskId&) const = default;
  [[nodiscard]] std::string str() const { return job_id.get() + "/" + std::to_string(task_index); }
};

std::optional<TaskId> parse_task_id(std::string_view text);

enum class TaskStatus { fetching, waiting_for_gang, running, saving_checkpoint, ended };

/// Why a task's attempt ended. The first group is reported by workers, the second one is concluded
/// by the shard's holder.
enum class TaskEndCause {
  completed,
  failed,
  unknown,      // the worker can't tell the cause; counts as a failure
  preempted,    // stopped by an order
  gang_ended,   // stopped with the other tasks of its gang
  unspecified,  // the worker names no cause, or one that this version does not know

  machine_gone,
  lease_expired,  // the worker began a new epoch; it ends all its tasks before beginning it
  never_started,  // the start was not executed and can't be executed any more
  never_bound     // the task was cancelled or stopped between its release and its binding
};

/// The cause as log lines show it.
const char* name_of(TaskEndCause cause);

struct ReportedTask {
  TaskId id;
  Attempt attempt;
  TaskStatus status = TaskStatus::fetching;
  TaskEndCause cause = TaskEndCause::unspecified;  // why an ended task ended
  bool saved = false;                              // whether an ended task saved a checkpoint
};

/// A worker's heartbeat with the status of all tasks that it has.
struct WorkerHeartbeat {
  MachineId machine_id;
  std::string address;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  WorkerEpoch epoch;
  HeartbeatSequence sequence;
  FencingToken token;                  // the shard's token as the worker knows it
  std::optional<Duration> reclaim_in;  // time until the cloud takes the machine back, if announced
  std::vector<ReportedTask> tasks;
};

/// Returns nullopt unless the whole heartbeat can be read, because the absence of a task from a
/// heartbeat is evidence that the worker does not have the task.
std::optional<WorkerHeartbeat> parse_worker_heartbeat(std::string_view body);

/// `kill`: ends the task after a grace period. `clear`: makes the worker forget an ended task.
enum class OrderType { start, kill, clear };

struct Order {
  OrderType type = OrderType::start;
  TaskId id;
  Attempt attempt;
  Duration grace_period{};  // only for `kill`
};

/// The answer to a heartbeat.
std::string write_heartbeat_answer(FencingToken token, const std::vector<Order>& orders);
/// The answer to a heartbeat of a machine whose shard another controller holds.
std::string write_holder_redirect(const NodeId& holder);
/// The body of POST /orders.
std::string write_order_request(FencingToken token, WorkerEpoch epoch,
                                const std::vector<Order>& orders);

}  // namespace marblevale

template <>
struct std::hash<marblevale::TaskId> {
  std::size_t operator()(const marblevale::TaskId& id) const noexcept {
    return std::hash<marblevale::JobId>{}(id.job_id) * 31 + id.task_index;
  }
};

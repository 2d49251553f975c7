#include "protocol/worker.hpp"

#include <charconv>

#include "protocol/job_spec.hpp"
#include "protocol/json.hpp"

namespace marblevale {

namespace {

std::optional<TaskStatus> status_of(const std::string& name) {
  if (name == "fetching") return TaskStatus::fetching;
  if (name == "gathering") return TaskStatus::waiting_for_gang;
  if (name == "running") return TaskStatus::running;
  if (name == "flushing") return TaskStatus::saving_checkpoint;
  if (name == "ended") return TaskStatus::ended;
  return std::nullopt;
}

TaskEndCause end_cause_of(const std::string& name) {
  if (name == "done") return TaskEndCause::completed;
  if (name == "error") return TaskEndCause::failed;
  if (name == "unknown") return TaskEndCause::unknown;
  if (name == "halted") return TaskEndCause::preempted;
  if (name == "peers") return TaskEndCause::gang_ended;
  return TaskEndCause::unspecified;
}

std::optional<ReportedTask> parse_task(const json::Value& item) {
  const auto id_text = json::text(item, "part");
  const auto attempt = json::count(item, "try");
  const auto status = json::text(item, "status");
  if (!id_text || !attempt || !status) return std::nullopt;
  const auto id = parse_task_id(*id_text);
  const auto state = status_of(*status);
  if (!id || !state) return std::nullopt;
  ReportedTask task{*id, Attempt(*attempt), *state, TaskEndCause::unspecified, false};
  task.cause = end_cause_of(json::text(item, "cause").value_or(""));
  task.saved = json::flag(item, "saved").value_or(false);
  return task;
}

const char* name_of(OrderType type) {
  switch (type) {
    case OrderType::start:
      return "start";
    case OrderType::kill:
      return "kill";
    case OrderType::clear:
      return "clear";
  }
  return "";
}

void write_orders(json::Writer& out, const std::vector<Order>& orders) {
  out.key("orders").open_list();
  for (const Order& order : orders) {
    out.open()
        .put("verb", name_of(order.type))
        .put("part", order.id.str())
        .put("try", order.attempt.get());
    if (order.type == OrderType::kill) out.put("leeway_s", to_seconds(order.grace_period));
    out.close();
  }
  out.close_list();
}

}  // namespace

const char* name_of(TaskEndCause cause) {
  switch (cause) {
    case TaskEndCause::completed:
      return "completed";
    case TaskEndCause::failed:
      return "failed";
    case TaskEndCause::unknown:
      return "unknown";
    case TaskEndCause::preempted:
      return "preempted";
    case TaskEndCause::gang_ended:
      return "gang_ended";
    case TaskEndCause::unspecified:
      return "unspecified";
    case TaskEndCause::machine_gone:
      return "machine_gone";
    case TaskEndCause::lease_expired:
      return "lease_expired";
    case TaskEndCause::never_started:
      return "never_started";
    case TaskEndCause::never_bound:
      return "never_bound";
  }
  return "";
}

std::optional<TaskId> parse_task_id(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || !valid_job_id(text.substr(0, slash))) return std::nullopt;
  TaskId id{JobId(std::string(text.substr(0, slash))), 0};
  const auto digits = text.substr(slash + 1);
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), id.task_index);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return id;
}

std::optional<WorkerHeartbeat> parse_worker_heartbeat(std::string_view body) {
  json::Document doc;
  if (!json::parse(doc, body)) return std::nullopt;
  const auto machine_id = json::text(doc, "host");
  const auto address = json::text(doc, "address");
  const auto machine_type = json::text(doc, "build");
  const auto zone = json::text(doc, "district");
  const auto epoch = json::count(doc, "tenure");
  const auto sequence = json::count(doc, "tally");
  const auto token = json::count(doc, "warrant");
  const json::Value* tasks = json::list(doc, "parts");
  if (!machine_id || machine_id->empty() || !address || !machine_type || !zone || !epoch ||
      !sequence || !token || tasks == nullptr) {
    return std::nullopt;
  }
  WorkerHeartbeat heartbeat;
  heartbeat.machine_id = MachineId(*machine_id);
  heartbeat.address = *address;
  heartbeat.machine_type = *machine_type;
  heartbeat.zone = ZoneId(*zone);
  heartbeat.spot = json::flag(doc, "loaners").value_or(false);
  heartbeat.epoch = WorkerEpoch(*epoch);
  heartbeat.sequence = HeartbeatSequence(*sequence);
  heartbeat.token = FencingToken(*token);
  if (const auto reclaim_in = json::number(doc, "recall_s"))
    heartbeat.reclaim_in = from_seconds(*reclaim_in);
  heartbeat.tasks.reserve(tasks->Size());
  for (const auto& item : tasks->GetArray()) {
    auto task = parse_task(item);
    // A heartbeat that can't be read completely must not count as evidence that a task is absent.
    if (!task) return std::nullopt;
    heartbeat.tasks.push_back(std::move(*task));
  }
  return heartbeat;
}

std::string write_heartbeat_answer(FencingToken token, const std::vector<Order>& orders) {
  json::Writer out;
  out.open().put("warrant", token.get());
  write_orders(out, orders);
  out.close();
  return out.str();
}

std::string write_holder_redirect(const NodeId& holder) {
  json::Writer out;
  out.open().put("steward", holder.get()).close();
  return out.str();
}

std::string write_order_request(FencingToken token, WorkerEpoch epoch,
                                const std::vector<Order>& orders) {
  json::Writer out;
  out.open().put("warrant", token.get()).put("tenure", epoch.get());
  write_orders(out, orders);
  out.close();
  return out.str();
}

}  // namespace marblevale

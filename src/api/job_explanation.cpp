#include "api/job_explanation.hpp"

#include <algorithm>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>

#include "api/job_status.hpp"
#include "scheduling/job_queue.hpp"

namespace marblevale {

namespace {

// From this many failures, or failures on this many machines, a fault in the job is likelier than
// faulty machines, because several machines are seldom faulty at the same time.
constexpr std::uint64_t kFaultyJobFailures = 3;
constexpr std::size_t kFaultyJobMachines = 2;

/// How the tasks of an unfinished job failed.
struct TaskFailures {
  std::uint64_t count = 0;
  std::set<MachineId> machines;      // machines of the tasks' last failures
  bool any_task_progressed = false;  // a task is done or has saved a checkpoint
  std::optional<Duration> backoff;   // until the next retry; empty if no task waits

  [[nodiscard]] bool suggest_faulty_job() const {
    return !any_task_progressed &&
           (count >= kFaultyJobFailures || machines.size() >= kFaultyJobMachines);
  }
};

/// The time until the planner considers the job again; empty if none of its tasks waits.
std::optional<Duration> remaining_backoff(const Records& records, const JobRecord& job,
                                          WallTime now) {
  const auto item = make_queue_item(job.spec.job_id, job, records, {}, now);
  if (!item) return std::nullopt;
  return std::max(Duration{0}, item->not_before - now);
}

TaskFailures find_failures(const Records& records, const JobRecord& job, WallTime now) {
  TaskFailures failures;
  for_each_task(records, job.spec.job_id, [&failures](const TaskRecord& task) {
    if (task.state == TaskState::done || task.progress > Duration{0}) {
      failures.any_task_progressed = true;
    }
    if (task.failure_count == 0) return;
    failures.count += task.failure_count;
    failures.machines.insert(task.failed_on);
  });
  if (failures.count > 0) failures.backoff = remaining_backoff(records, job, now);
  return failures;
}

/// Describes the failures in a sentence, for the user of a job that is probably faulty itself.
std::string faulty_job_reason(const TaskFailures& failures) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "its tasks failed " << failures.count
      << " times, on at least " << failures.machines.size()
      << " machines, and none has worked: probably a mistake in the job";
  if (failures.backoff) out << "; tried again in " << to_seconds(*failures.backoff) << " s";
  return out.str();
}

void write_failures(json::Writer& out, const TaskFailures& failures) {
  out.put("faults", failures.count);
  if (failures.count == 0) return;
  out.put("failed_machines", static_cast<std::uint64_t>(failures.machines.size()));
  if (failures.backoff) out.put("retry_in_s", to_seconds(*failures.backoff));
  if (failures.suggest_faulty_job()) out.put("reason", faulty_job_reason(failures));
}

void write_guarantee(json::Writer& out, const Guarantee& guarantee, WallTime accepted) {
  out.put("granted_start_s", to_seconds(guarantee.initial_start - accepted))
      .put("planned_start_s", to_seconds(guarantee.start - accepted))
      .put("planned_end_s", to_seconds(guarantee.end - accepted));
}

/// Writes the notes, each with its time in seconds after the job's acceptance.
void write_history(json::Writer& out, const std::vector<Note>& notes, WallTime accepted) {
  out.key("history").open_list();
  for (const Note& note : notes) {
    out.open().put("after_s", to_seconds(note.at - accepted)).put("what", note.text).close();
  }
  out.close_list();
}

void write_plan(json::Writer& out, const Records& records, const JobRecord& job) {
  const auto found = records.guarantee_records.find(job.spec.job_id);
  if (found == records.guarantee_records.end()) {
    write_history(out, {}, job.accepted);
    return;
  }
  const GuaranteeRecord& plan = found->second.record;
  if (!plan.guarantees.empty()) write_guarantee(out, plan.guarantees.back(), job.accepted);
  write_history(out, plan.notes, job.accepted);
}

void format_status(std::ostream& out, const json::Document& doc) {
  out << json::text(doc, "uid").value_or("?") << " is " << json::text(doc, "status").value_or("?");
  if (const auto took = json::number(doc, "took_s")) out << ", " << *took << " s after acceptance";
  if (const auto waited = json::number(doc, "waited_s")) {
    out << ", accepted " << *waited << " s ago";
  }
  out << "\n";
}

void format_task_counts(std::ostream& out, const json::Document& doc) {
  const auto task_count = json::count(doc, "parts");
  const auto done = json::count(doc, "done");
  if (!task_count || !done) return;
  out << "tasks: " << *task_count << " in all, " << *done << " done, "
      << json::count(doc, "placed").value_or(0) << " placed, "
      << json::count(doc, "stopping").value_or(0) << " being stopped, "
      << json::count(doc, "faults").value_or(0) << " failures\n";
}

void format_guarantee(std::ostream& out, const json::Document& doc) {
  const auto first_start = json::number(doc, "granted_start_s");
  if (!first_start) return;
  out << "guaranteed at arrival: start " << *first_start
      << " s after acceptance; planned now: " << json::number(doc, "planned_start_s").value_or(0)
      << " s\n";
}

void format_history(std::ostream& out, const json::Document& doc) {
  const auto* history = json::list(doc, "history");
  if (history == nullptr) return;
  for (const auto& item : history->GetArray()) {
    out << "  +" << json::number(item, "after_s").value_or(0) << " s  "
        << json::text(item, "what").value_or("") << "\n";
  }
}

}  // namespace

std::string explain_job(const Records& records, const JobRecord& job, WallTime now) {
  const JobSpec& spec = job.spec;
  const TaskCounts tasks = count_tasks(records, spec.job_id);
  json::Writer out;
  out.open()
      .put("uid", spec.job_id.get())
      .put("status", name_of(status_of(job, tasks.placed)))
      .put("crew", spec.team.get())
      .put("urgency", name_of(spec.urgency))
      .put("waited_s", to_seconds(now - job.accepted))
      .put("parts", static_cast<std::uint64_t>(spec.task_count))
      .put("done", tasks.done)
      .put("placed", tasks.placed)
      .put("stopping", tasks.stopping);
  write_failures(out, find_failures(records, job, now));
  write_plan(out, records, job);
  out.close();
  return out.str();
}

std::string explain_job(const FinalRecord& job) {
  json::Writer out;
  out.open()
      .put("uid", job.job_id.get())
      .put("status", name_of(status_of(job)))
      .put("parts", static_cast<std::uint64_t>(job.task_count))
      .put("took_s", to_seconds(job.ended - job.accepted));
  write_history(out, job.notes, job.accepted);
  out.close();
  return out.str();
}

std::string format_explanation(const std::string& explanation) {
  json::Document doc;
  if (!json::parse(doc, explanation)) return "the answer can't be read\n";
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  format_status(out, doc);
  format_task_counts(out, doc);
  if (const auto reason = json::text(doc, "reason")) out << *reason << "\n";
  format_guarantee(out, doc);
  format_history(out, doc);
  return out.str();
}

}  // namespace marblevale

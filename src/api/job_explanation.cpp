#include "api/job_explanation.hpp"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

#include "scheduling/job_queue.hpp"

namespace marblevale {

namespace {

/// Notes with their time as seconds after acceptance.
void write_history(json::Writer& out, const std::vector<Note>& notes, WallTime accepted) {
  out.key("history").open_list();
  for (const Note& note : notes) {
    out.open().put("after_s", to_seconds(note.at - accepted)).put("what", note.what).close();
  }
  out.close_list();
}

// Failures from which a mistake in the job is likelier than faulty machines: as many machines are
// seldom faulty at a time.
constexpr std::uint64_t kFaultyJobFailures = 3;
constexpr std::size_t kFaultyJobMachines = 2;

/// How the tasks of an unfinished job failed.
struct Failures {
  std::uint64_t count = 0;
  std::set<MachineId> machines;  // of each task's last failure
  bool worked = false;           // a task was done, or saved progress
  std::optional<Duration> retry_in;

  [[nodiscard]] bool suggest_faulty_job() const {
    return !worked && (count >= kFaultyJobFailures || machines.size() >= kFaultyJobMachines);
  }
};

/// When the planner tries the job again; nothing while none of its tasks waits.
std::optional<Duration> retry_in(const Records& records, const Settings& settings,
                                 const JobRecord& job, WallTime now) {
  Records only_this;
  only_this.jobs.emplace(job.spec.job_id, Versioned<JobRecord>{job, {}});
  const auto current = [&records](const JobId& job_id, std::uint32_t number) {
    const auto* stored = records.slice(job_id, number);
    return stored == nullptr ? nullptr : &stored->record;
  };
  const auto queue = build_queue(only_this, settings, current, now, false);
  if (queue.empty()) return std::nullopt;
  return std::max(Duration{0}, queue.front().not_before - now);
}

Failures failures_of(const Records& records, const Settings& settings, const JobRecord& job,
                     WallTime now) {
  Failures failures;
  const JobId& job_id = job.spec.job_id;
  for (auto it = records.slices.lower_bound({job_id, 0});
       it != records.slices.end() && it->first.job_id == job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      failures.worked =
          failures.worked || task.state == TaskState::done || task.progress > Duration{0};
      if (task.faults == 0) continue;
      failures.count += task.faults;
      failures.machines.insert(task.failed_on);
    }
  }
  if (failures.count > 0) failures.retry_in = retry_in(records, settings, job, now);
  return failures;
}

/// The failures in a sentence, for a job that was probably submitted with a mistake.
std::string faulty_job_reason(const Failures& failures) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << "its tasks failed " << failures.count
      << " times, on at least " << failures.machines.size()
      << " machines, and none has worked: probably a mistake in the job";
  if (failures.retry_in) out << "; tried again in " << to_seconds(*failures.retry_in) << " s";
  return out.str();
}

void write_failures(json::Writer& out, const Failures& failures) {
  out.put("faults", failures.count);
  if (failures.count == 0) return;
  out.put("failed_machines", static_cast<std::uint64_t>(failures.machines.size()));
  if (failures.retry_in) out.put("retry_in_s", to_seconds(*failures.retry_in));
  if (failures.suggest_faulty_job()) out.put("reason", faulty_job_reason(failures));
}

}  // namespace

std::string explain_job(const Records& records, const Settings& settings, const JobRecord& job,
                        WallTime now) {
  const JobSpec& spec = job.spec;
  std::uint64_t done = 0;
  std::uint64_t bound = 0;
  std::uint64_t stopping = 0;
  for (auto it = records.slices.lower_bound({spec.job_id, 0});
       it != records.slices.end() && it->first.job_id == spec.job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      done += task.state == TaskState::done ? 1 : 0;
      bound += task.placed() ? 1 : 0;
      stopping += task.stop ? 1 : 0;
    }
  }
  json::Writer out;
  out.open()
      .put("uid", spec.job_id.get())
      .put("status", job.cancelled ? "cancelled"
                     : bound > 0   ? "running"
                                   : "queued")
      .put("crew", spec.team.get())
      .put("urgency", name_of(spec.urgency))
      .put("waited_s", to_seconds(now - job.accepted))
      .put("parts", static_cast<std::uint64_t>(spec.task_count))
      .put("done", done)
      .put("placed", bound)
      .put("stopping", stopping);
  write_failures(out, failures_of(records, settings, job, now));
  const auto guarantee_record = records.guarantee_records.find(spec.job_id);
  if (guarantee_record != records.guarantee_records.end()) {
    if (!guarantee_record->second.record.guarantees.empty()) {
      const Guarantee& g = guarantee_record->second.record.guarantees.back();
      out.put("granted_start_s", to_seconds(g.first - job.accepted))
          .put("planned_start_s", to_seconds(g.start - job.accepted))
          .put("planned_end_s", to_seconds(g.end - job.accepted));
    }
    write_history(out, guarantee_record->second.record.notes, job.accepted);
  } else {
    write_history(out, {}, job.accepted);
  }
  out.close();
  return out.str();
}

std::string explain_job(const FinalRecord& job) {
  json::Writer out;
  out.open()
      .put("uid", job.job_id.get())
      .put("status", job.state == FinalState::done ? "done" : "cancelled")
      .put("parts", static_cast<std::uint64_t>(job.task_count))
      .put("took_s", to_seconds(job.ended - job.accepted));
  write_history(out, job.notes, job.accepted);
  out.close();
  return out.str();
}

std::string format_explanation(const std::string& answer) {
  json::Document doc;
  if (!json::parse(doc, answer)) return "the answer can't be read\n";
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << json::text(doc, "uid").value_or("?") << " is " << json::text(doc, "status").value_or("?");
  if (const auto took = json::number(doc, "took_s")) out << ", " << *took << " s after acceptance";
  if (const auto waited = json::number(doc, "waited_s"))
    out << ", accepted " << *waited << " s ago";
  out << "\n";
  if (const auto task_count = json::count(doc, "parts"); task_count && json::count(doc, "done")) {
    out << "tasks: " << *task_count << " in all, " << *json::count(doc, "done") << " done, "
        << json::count(doc, "placed").value_or(0) << " placed, "
        << json::count(doc, "stopping").value_or(0) << " being stopped, "
        << json::count(doc, "faults").value_or(0) << " failures\n";
  }
  if (const auto reason = json::text(doc, "reason")) out << *reason << "\n";
  if (const auto first = json::number(doc, "granted_start_s")) {
    out << "guaranteed at arrival: start " << *first
        << " s after acceptance; planned now: " << json::number(doc, "planned_start_s").value_or(0)
        << " s\n";
  }
  if (const auto* history = json::list(doc, "history")) {
    for (const auto& item : history->GetArray()) {
      out << "  +" << json::number(item, "after_s").value_or(0) << " s  "
          << json::text(item, "what").value_or("") << "\n";
    }
  }
  return out.str();
}

}  // namespace marblevale

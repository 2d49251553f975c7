#include "admission/why.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace marblevale {

namespace {

/// Notes with their time as seconds after acceptance.
void write_history(json::Writer& out, const std::vector<Note>& notes, WallTime accepted) {
  out.key("history").open_list();
  for (const Note& note : notes) {
    out.open().put("after_s", (note.at - accepted).seconds()).put("what", note.what).close();
  }
  out.close_list();
}

}  // namespace

std::string explain(const Records& records, const JobRecord& job, WallTime now) {
  const JobSpec& spec = job.spec;
  std::uint64_t done = 0;
  std::uint64_t bound = 0;
  std::uint64_t stopping = 0;
  std::uint64_t faults = 0;
  for (auto it = records.slices.lower_bound({spec.job_id, 0});
       it != records.slices.end() && it->first.first == spec.job_id; ++it) {
    for (const TaskRecord& task : it->second.record.tasks) {
      done += task.state == TaskState::done ? 1 : 0;
      bound += task.placed() ? 1 : 0;
      stopping += task.stop ? 1 : 0;
      faults += task.faults;
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
      .put("waited_s", (now - job.accepted).seconds())
      .put("parts", static_cast<std::uint64_t>(spec.task_count))
      .put("done", done)
      .put("placed", bound)
      .put("stopping", stopping)
      .put("faults", faults);
  const auto grant = records.grants.find(spec.job_id);
  if (grant != records.grants.end()) {
    if (!grant->second.record.guarantees.empty()) {
      const Guarantee& g = grant->second.record.guarantees.back();
      out.put("granted_start_s", (g.first - job.accepted).seconds())
          .put("planned_start_s", (g.start - job.accepted).seconds())
          .put("planned_end_s", (g.end - job.accepted).seconds());
    }
    write_history(out, grant->second.record.notes, job.accepted);
  } else {
    write_history(out, {}, job.accepted);
  }
  out.close();
  return out.str();
}

std::string explain(const FinalRecord& job) {
  json::Writer out;
  out.open()
      .put("uid", job.job_id.get())
      .put("status", job.state == FinalState::done ? "done" : "cancelled")
      .put("parts", static_cast<std::uint64_t>(job.task_count))
      .put("took_s", (job.ended - job.accepted).seconds());
  write_history(out, job.notes, job.accepted);
  out.close();
  return out.str();
}

std::string in_words(const std::string& answer) {
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

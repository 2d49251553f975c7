#include "blocks/proof.hpp"

namespace marblevale {

bool WorkerView::take(const Report& report, Source source) {
  const bool newer = report.tenure > tenure || (report.tenure == tenure && report.tally > tally);
  if (!newer) return false;
  // What was said in answer to an earlier session's reports is dropped.
  if (report.tenure > tenure) answered_starts.clear();
  tenure = report.tenure;
  tally = report.tally;
  if (source == Source::worker) reported = report.tally;
  warrant = std::max(warrant, report.warrant);
  address = report.address;
  tasks.clear();
  for (const ReportedTask& task : report.parts) tasks[{task.id, task.attempt}] = task;
  return true;
}

void WorkerView::prune() {
  std::erase_if(direct_starts, [this](const auto& entry) { return entry.second < warrant; });
  std::erase_if(answered_starts, [this](const auto& entry) { return entry.second < reported; });
}

bool WorkerView::start_settled(const TaskId& id, Attempt attempt, Warrant current) const {
  // Until the worker has seen our warrant, an earlier holder's orders may still be executed.
  if (warrant < current) return false;
  const auto direct = direct_starts.find({id, attempt});
  if (direct != direct_starts.end() && direct->second >= warrant) return false;
  const auto answered = answered_starts.find({id, attempt});
  return answered == answered_starts.end() || answered->second < reported;
}

const ReportedTask* reported(const WorkerView& worker, const TaskId& id, Attempt attempt) {
  const auto it = worker.tasks.find({id, attempt});
  return it == worker.tasks.end() ? nullptr : &it->second;
}

Finding examine(const TaskId& id, const TaskRecord& task, const WorkerView& worker,
                Warrant current) {
  // A new session: the worker has killed and forgotten all that it had, and drops what was sent to
  // the session before.
  if (worker.tenure > task.tenure) return Finding::lost;
  if (worker.tenure < task.tenure) return Finding::absent;
  if (const ReportedTask* there = reported(worker, id, task.attempt)) {
    return there->status == TaskStatus::ended ? Finding::ended : Finding::present;
  }
  return worker.start_settled(id, task.attempt, current) ? Finding::never_here : Finding::absent;
}

void apply_end(TaskRecord& task, const JobSpec& job, const std::string& cause, bool saved,
               Wall now) {
  if (cause == "done") {
    task.state = TaskState::done;
  } else {
    task.state = TaskState::idle;
    const Span ran = task.running.ms == 0 ? Span{0} : now - task.running;
    if (cause == "halted" && saved) {
      task.progress = std::min(job.expect, task.progress + ran);
    } else if (job.snapshot > Span{0} && ran > Span{0}) {
      const auto whole = (task.progress + ran).ms / job.snapshot.ms;
      task.progress = std::max(task.progress, Span{whole * job.snapshot.ms});
      task.progress = std::min(task.progress, job.expect);
    }
    if (cause == "error" || cause == "unknown") {
      ++task.faults;
      task.failed_on = task.host;
    }
  }
  task.zone = ZoneId{};
  task.host = HostId{};
  task.tenure = Tenure{};
  task.running = Wall{};
  task.since = now;
  task.stop.reset();
}

}  // namespace marblevale

#include "blocks/report_handler.hpp"

#include <spdlog/spdlog.h>

#include "wire/json.hpp"

namespace marblevale {

ReportHandler::ReportHandler(const BlockContext& context, BlockOwnership& blocks,
                             WorkerRegistry& workers, const CancellationDeadlines& deadlines,
                             MachineRecorder& machines, OrderDelivery& orders,
                             MisdirectedReports& misdirected, PendingWork& work)
    : context_(context),
      blocks_(blocks),
      workers_(workers),
      deadlines_(deadlines),
      machines_(machines),
      orders_(orders),
      misdirected_(misdirected),
      work_(work) {}

ReportAnswer ReportHandler::redirect(const Report& report) {
  const auto& blocks = context_.cache.records().blocks;
  const auto it = blocks.find(report.zone);
  const bool holder_known = context_.cache.ready() && it != blocks.end() &&
                            it->second.record.holder != context_.settings.node;
  if (!holder_known) return {421, "{}"};
  misdirected_.record(report.zone, report.machine_id, context_.clock.steady());
  return {421, write_redirect(it->second.record.holder)};
}

ReportAnswer ReportHandler::handle(std::string_view body) {
  const auto timed = context_.metrics.time(Duty::report);
  const auto report = parse_report(body);
  if (!report) return {400, R"({"error":"malformed report"})"};
  const SteadyTime now = context_.clock.steady();
  // Without contact to the state service a cancellation may have been accepted that we can't see;
  // answering would keep the worker's lease, and the cancelled task, alive for too long.
  const bool may_answer = context_.cache.ready() && deadlines_.may_answer(now);
  if (!may_answer || !blocks_.holds(report->zone)) return redirect(*report);
  blocks_.refresh();
  const FencingToken token = blocks_.token_of(report->zone);
  if (report->token > token) return {421, "{}"};  // another holds the block by now

  KnownWorker& worker = workers_.add_reporting(report->machine_id, now);
  worker.zone = report->zone;
  const bool newer = apply(worker, *report, WorkerView::Source::worker);
  refuse_or_allow_lease(report->machine_id, worker);
  // Not redirected to anybody who would answer.
  if (worker.lease_refused) return {503, R"({"error":"its lease must lapse"})"};
  if (!newer) return {200, write_answer(token, {})};
  note_reachability(*report, worker, token);
  return {200, write_answer(token, orders_.answer_orders(*report, worker))};
}

void ReportHandler::handle_order_answer(KnownWorker& worker, const Report& report) {
  apply(worker, report, WorkerView::Source::order);
  machines_.record_report(report, worker);
}

void ReportHandler::refuse_or_allow_lease(const MachineId& machine_id, KnownWorker& worker) {
  // Neither the state service nor the cloud is needed to end a cancelled task: its machine's lease
  // is left to lapse, whatever else runs there.
  const bool refused = deadlines_.lease_must_lapse(machine_id, worker);
  if (refused && !worker.lease_refused) {
    spdlog::warn("holder: {} gets no answers: it still has a cancelled task", machine_id.get());
    context_.metrics.count("leases left to lapse");
  }
  worker.lease_refused = refused;
}

void ReportHandler::note_reachability(const Report& report, KnownWorker& worker,
                                      FencingToken token) {
  // A copy of an old report may come as late as it likes, and a holder that has just begun knows
  // nothing that the report could be older than: only one that bears a fencing token of this
  // holding was certainly sent since. (Tokens are renewed while a block is held: the first counts.)
  if (report.token >= blocks_.first_token_of(report.zone)) {
    const SteadyTime now = context_.clock.steady();
    worker.reachability.report_answered(now, context_.settings.workers.lease);
    worker.last_report_at = now;
    worker.reachability.report_received(token);
    machines_.record_report(report, worker);
  } else if (!worker.reachability.reachable_under(token)) {
    work_.command_machine(report.machine_id);  // a probe shows whether commands reach it
    work_.schedule_round();
  }
}

bool ReportHandler::apply(KnownWorker& worker, const Report& report, WorkerView::Source source) {
  const SessionId before = worker.view.session;
  if (!worker.view.apply(report, source)) return false;
  if (report.session > before) {
    const bool lapsed_though_answered = worker.reachability.session_changed(
        context_.clock.steady(), context_.settings.workers.lease);
    if (lapsed_though_answered && before != SessionId{}) {
      worker.reachability.mark_commands_unreachable("its lease lapsed though it was answered");
    }
  }
  worker.view.prune();
  worker.reclaim_at.reset();
  if (report.reclaim_in) worker.reclaim_at = context_.clock.wall() + *report.reclaim_in;
  const bool reported = mark_reported_slices(worker, report.machine_id);
  const bool unreported = mark_unreported_slices(worker, report.machine_id);
  if (reported || unreported) work_.schedule_round();
  return true;
}

bool ReportHandler::mark_reported_slices(const KnownWorker& worker, const MachineId& machine_id) {
  bool marked = false;
  for (const auto& [attempt, task] : worker.view.tasks) {
    const TaskRecord* record = context_.cache.records().task(attempt.id);
    if (record == nullptr || record->state != TaskState::bound ||
        record->attempt != attempt.attempt || record->machine_id != machine_id) {
      continue;
    }
    const bool started = task.status == TaskStatus::running && record->running.ms == 0;
    if (task.status != TaskStatus::ended && !started) continue;
    work_.mark_dirty(slice_of(attempt.id));
    marked = true;
  }
  return marked;
}

bool ReportHandler::mark_unreported_slices(const KnownWorker& worker, const MachineId& machine_id) {
  const Records& records = context_.cache.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return false;
  bool marked = false;
  for (const auto& [id, attempt] : placed->second) {
    if (find_reported(worker.view, {id, attempt}) != nullptr) continue;
    work_.mark_dirty(slice_of(id));
    marked = true;
  }
  return marked;
}

}  // namespace marblevale

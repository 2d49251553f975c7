// Workers' reports: which of them are answered, what they change, and what the answer says.
#pragma once

#include <string>
#include <string_view>

#include "blocks/block_context.hpp"
#include "blocks/block_ownership.hpp"
#include "blocks/cancellation_deadlines.hpp"
#include "blocks/machine_recorder.hpp"
#include "blocks/misdirected_reports.hpp"
#include "blocks/order_delivery.hpp"
#include "blocks/pending_work.hpp"
#include "blocks/worker_registry.hpp"

namespace marblevale {

/// The answer to a report: 200 with orders, or 421 with or without the holder's name.
struct ReportAnswer {
  int status = 421;
  std::string body;
};

class ReportHandler {
 public:
  ReportHandler(const BlockContext& context, BlockOwnership& blocks, WorkerRegistry& workers,
                const CancellationDeadlines& deadlines, MachineRecorder& machines,
                OrderDelivery& orders, MisdirectedReports& misdirected, PendingWork& work);

  /// A report that a worker sent by itself.
  ReportAnswer handle(std::string_view body);
  /// A report with which a worker answered an order.
  void handle_order_answer(KnownWorker& worker, const Report& report);

 private:
  ReportAnswer redirect(const Report& report);
  /// Takes over what is newer than what is known; false when nothing is.
  bool apply(KnownWorker& worker, const Report& report, WorkerView::Source source);
  /// Marks the slices that the report may change; true when there are any.
  bool mark_reported_slices(const KnownWorker& worker, const MachineId& machine_id);
  bool mark_unreported_slices(const KnownWorker& worker, const MachineId& machine_id);
  void refuse_or_allow_lease(const MachineId& machine_id, KnownWorker& worker);
  void note_reachability(const Report& report, KnownWorker& worker, FencingToken token);

  const BlockContext& context_;
  BlockOwnership& blocks_;
  WorkerRegistry& workers_;
  const CancellationDeadlines& deadlines_;
  MachineRecorder& machines_;
  OrderDelivery& orders_;
  MisdirectedReports& misdirected_;
  PendingWork& work_;
};

}  // namespace marblevale

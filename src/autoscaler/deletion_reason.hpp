/// Why a machine is deleted.
#pragma once

namespace marblevale {

/// Recorded in the log line of each deletion.
enum class DeletionReason {
  idle,                    // no task, and no use for it in the plan
  silent,                  // no heartbeat for longer than the silence timeout
  drained,                 // quarantined or draining, and without tasks
  no_longer_listed,        // the cloud's list has dropped it
  up_but_unlisted,         // only its record is left
  boot_timeout,            // provisioned, but has sent no heartbeat and is in no record
  provisioning_failed,     // the cloud lists it as failed
  listed_but_unrecorded,   // nobody expects it, and it sends no heartbeat
  holds_cancelled_task,    // it does not confirm that a cancelled task has ended
  has_tasks_but_no_record  // only its deletion can be evidence that its tasks have ended
};

/// The reason as log lines have it.
const char* name_of(DeletionReason reason);

}  // namespace marblevale

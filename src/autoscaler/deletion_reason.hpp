/// The reasons for deleting a machine, so that the log says why each machine was deleted.
#pragma once

namespace marblevale {

/// Written in the log line of each deletion.
enum class DeletionReason {
  idle,                    // has no tasks, and the plan does not use it
  silent,                  // no heartbeat for longer than the silence timeout
  drained,                 // quarantined or draining, and has no tasks
  no_longer_listed,        // was on the cloud's machine list and is no longer
  up_but_unlisted,         // its record says `up`, but the cloud does not list it
  boot_timeout,            // no heartbeat and no record within the boot timeout
  provisioning_failed,     // the cloud lists it as failed
  listed_but_unrecorded,   // no heartbeat and no record, and older than any boot
  holds_cancelled_task,    // has not confirmed in time that a cancelled task ended
  has_tasks_but_no_record  // only its deletion can prove that its tasks have ended
};

/// The reason as written in log lines.
const char* name_of(DeletionReason reason);

}  // namespace marblevale

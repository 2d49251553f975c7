// The records that controllers keep in the state service, and their codecs. Each value is a small
// JSON object with a format number. The names of stored fields are fixed: other versions read them.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/time.hpp"
#include "protocol/cloud.hpp"
#include "protocol/job_spec.hpp"
#include "protocol/worker.hpp"
#include "records/keys.hpp"

namespace marblevale {

/// The size that a stored value may have, and the form in which a record may be written.
struct RecordSize {
  std::size_t max_bytes = 8192;
  /// The compact forms of slices and machine pages, which some versions can't read. They are
  /// written only where the plain form does not fit.
  bool compact_allowed = false;
};

/// The newest form of records that this version reads: 1 plain, 2 compact as well.
inline constexpr std::uint64_t kNewestReadableForm = 2;

/// Who leads. The revision of this record is the leader's term.
struct LeaderRecord {
  NodeId node;
  ProcessIncarnation incarnation;
};

/// A live controller. Its shards hang on the lease that it renews for them.
struct NodeRecord {
  NodeId node;
  ProcessIncarnation incarnation;
  LeaseId shard_lease_id;
  std::uint64_t newest_readable_form =
      1;  // absent in the records of versions that read only plain ones
};

/// The holder of a shard. The revision of this record is the shard's fencing token.
struct ShardRecord {
  ZoneId zone;
  NodeId holder;
  ProcessIncarnation incarnation;
  std::uint64_t generation = 0;
};

/// An accepted job that has not ended.
struct JobRecord {
  JobSpec spec;
  WallTime accepted;
  std::optional<WallTime> cancelled;  // when it was cancelled
};

/// An event in the planning of a job, for the answer to why it waits.
struct Note {
  WallTime at;
  std::string text;
};

/// The reservation of a slice: its guaranteed start and end.
struct Guarantee {
  std::uint32_t slice = 0;
  WallTime initial_start;  // the start guaranteed at arrival
  WallTime start;
  WallTime end;
};

/// The guarantees of a job, and the notes on its planning.
struct GuaranteeRecord {
  JobId job_id;
  std::vector<Guarantee> guarantees;  // of the slices that are reserved now
  std::vector<Note> notes;            // the latest, bounded

  /// Adds a note; beyond the bound the oldest but the first is dropped.
  void note(WallTime at, std::string text);
};

/// `released`: the leader has placed the task; `bound`: the shard's holder has committed that it
/// runs there.
enum class TaskState { idle, released, bound, done };

/// The order to end a task, with the time that it has for it.
struct StopOrder {
  Duration grace_period{};
  std::string reason;
};

/// A task's state and place. It stays placed until there is evidence of its termination.
struct TaskRecord {
  TaskState state = TaskState::idle;
  Attempt attempt;
  ZoneId zone;
  MachineId machine_id;
  WorkerEpoch epoch;                // of the worker when the task was bound
  WallTime since;                   // of the release, the binding, or the last end
  WallTime running_since;           // when it was first seen running; 0: not yet
  Duration progress{};              // of the last checkpoint
  std::uint32_t failure_count = 0;  // ends by error
  MachineId failed_on;              // the machine of the last of them
  std::optional<StopOrder> stop;

  [[nodiscard]] bool placed() const {
    return state == TaskState::released || state == TaskState::bound;
  }
};

/// Tasks of one slice: the largest number whose record, with a stop and its reason for every task,
/// stays within the smallest value that a deployment's state service takes (8 KiB).
inline constexpr std::uint32_t kSliceTasks = 64;

struct SliceRecord {
  JobId job_id;
  std::uint32_t number = 0;
  std::vector<TaskRecord> tasks;

  [[nodiscard]] std::uint32_t first_task_index() const { return number * kSliceTasks; }
  [[nodiscard]] bool all_done() const;
};

/// How many slices the job has, and how many tasks slice `number` has.
std::uint32_t slice_count(const JobSpec& job);
std::uint32_t slice_size(const JobSpec& job, std::uint32_t number);

enum class MachineState {
  up,       // sends heartbeats
  silent,   // has sent no heartbeat for a while, which is no evidence that its tasks ended
  suspect,  // a task failed on it: takes none until the task's next attempt shows whose fault it
            // was
  quarantined,  // fails tasks: takes none, to be returned
  draining,     // takes no new tasks: preemption notice from the cloud, or not needed
  deleting,     // the leader has decided to delete it
  gone          // evidence: nothing runs there, or ever will
};

const char* name_of(MachineState state);

/// An image that a machine's cache holds.
struct CachedImage {
  ImageId image;
  double gb = 0;

  bool operator==(const CachedImage&) const = default;
};

/// A rented machine, or one that is no more.
struct MachineRecord {
  MachineId machine_id;
  std::string address;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  MachineState state = MachineState::up;
  WallTime since;
  std::optional<WallTime> reclaim_at;
  /// Images that tasks have run with there, the latest last, as far as its cache holds them. Kept
  /// here because an estimate in memory is lost when all controllers end at once.
  std::vector<CachedImage> images;
  JobId failed_job;  // of a suspect: the job whose task failed there

  bool operator==(const MachineRecord&) const = default;
};

/// Machines are kept in pages, since each put counts against the state service's rate, and a
/// thousand machines come up within seconds.
struct MachinePage {
  std::vector<MachineRecord> machines;
};

/// Images that a machine's record lists at the most.
inline constexpr std::size_t kMaxImages = 24;

/// Records that the image was used, as the machine's cache does: the latest last, the longest
/// unused dropped beyond `cache_gb`. False when it was in the list.
bool note_image(std::vector<CachedImage>& images, const ImageId& image, double gb, double cache_gb);

/// A request for machines that was sent to the cloud, until all of them are known. Its name makes
/// it idempotent.
struct ProvisioningRequest {
  std::string name;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  std::uint32_t machine_count = 0;
  WallTime requested_at;
  bool has_answer = false;
  std::vector<MachineId> machine_ids;
};

enum class FinalState { done, cancelled };

/// A job that has ended.
struct FinalRecord {
  JobId job_id;
  FinalState state = FinalState::done;
  std::uint32_t task_count = 0;
  WallTime accepted;
  WallTime ended;
  std::vector<Note> notes;
};

std::string encode(const LeaderRecord& r);
std::string encode(const NodeRecord& r);
std::string encode(const ShardRecord& r);
std::string encode(const JobRecord& r);
/// Notes are left out, the oldest but the first, until the record stays within `max_bytes`.
std::string encode(GuaranteeRecord r, std::size_t max_bytes);
/// In the plain form, whatever its size.
std::string encode(const SliceRecord& r);
/// In the plain form if it fits, else in the compact one as far as that is allowed.
std::string encode(const SliceRecord& r, const RecordSize& size);
/// Images are left out, the longest unused first, until the page fits; where the plain form is too
/// large without them and the compact one is allowed, that is taken.
std::string encode(const MachinePage& page, const RecordSize& size);
std::string encode(const ProvisioningRequest& r);
/// Notes are left out as in a guarantee record.
std::string encode(FinalRecord r, std::size_t max_bytes);
std::string encode(const std::vector<MachineType>& types);

// Each returns false, leaving `out` in an unspecified state, for what this version can't read.
bool decode(const json::Value& v, LeaderRecord& out);
bool decode(const json::Value& v, NodeRecord& out);
bool decode(const json::Value& v, ShardRecord& out);
bool decode(const json::Value& v, JobRecord& out);
bool decode(const json::Value& v, GuaranteeRecord& out);
bool decode(const json::Value& v, SliceRecord& out);
bool decode(const json::Value& v, MachinePage& out);
bool decode(const json::Value& v, ProvisioningRequest& out);
bool decode(const json::Value& v, FinalRecord& out);
bool decode(const json::Value& v, std::vector<MachineType>& out);

/// True for a slice or page in its compact form, which is written only under lowered limits.
bool is_compact_slice(const json::Value& v);
bool is_compact_page(const json::Value& v);

void write_notes(json::Writer& out, const std::vector<Note>& notes);

}  // namespace marblevale

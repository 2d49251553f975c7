// The records that controllers keep in the state service, and their codecs. Each value is a small
// JSON object with a format number. The names of stored fields must not change, because other
// versions read them.
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

/// The size limit of a stored value, and whether a record may be written in its compact form.
struct RecordSize {
  std::size_t max_bytes = 8192;
  /// Allows the compact forms of slices and machine pages, which some versions can't read. They are
  /// written only if the plain form does not fit.
  bool compact_allowed = false;
};

/// The newest form of records that this version reads. 1: plain; 2: plain and compact.
inline constexpr std::uint64_t kNewestReadableForm = 2;

/// The current leader. The revision of this record is the leader's term.
struct LeaderRecord {
  NodeId node;
  ProcessIncarnation incarnation;
};

/// A live controller. The records of the shards that it holds are attached to its shard lease.
struct NodeRecord {
  NodeId node;
  ProcessIncarnation incarnation;
  LeaseId shard_lease_id;
  /// Absent in the records of versions that read only the plain form.
  std::uint64_t newest_readable_form = 1;
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
  std::optional<WallTime> cancelled;  // the time of the cancellation
};

/// An event in the planning of a job, shown to users who ask why the job waits.
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

/// The guarantees of a job and the notes on its planning.
struct GuaranteeRecord {
  JobId job_id;
  std::vector<Guarantee> guarantees;  // of the slices that have a reservation now
  std::vector<Note> notes;            // the first and the latest; their number is bounded

  /// Adds a note. Beyond the bound, the oldest note except the first is dropped.
  void note(WallTime at, std::string text);
};

enum class TaskState : std::uint8_t {
  idle,
  released,  // the leader has placed the task on a machine
  bound,     // the shard's holder has committed that the task runs on this machine
  done
};

/// Why a task is stopped, as the job's notes tell it.
using StopReason = InternedId<struct StopReasonTag>;

/// The order to end a task within a grace period.
struct StopOrder {
  Duration grace_period{};
  StopReason reason;
};

/// The state and placement of a task. The task stays placed until there is evidence of its
/// termination.
struct TaskRecord {
  TaskState state = TaskState::idle;
  std::uint32_t failure_count = 0;  // failed attempts; of a service, since its last stable run
  Attempt attempt;
  ZoneId zone;
  MachineId machine_id;
  WorkerEpoch epoch;       // the worker's epoch when the task was bound
  WallTime since;          // time of the release, the binding or the last end
  WallTime running_since;  // when the attempt was first seen running; 0: not yet
  Duration progress{};     // run time that the last checkpoint covers
  MachineId failed_on;     // the machine of the last failed attempt
  std::optional<StopOrder> stop;

  [[nodiscard]] bool placed() const {
    return state == TaskState::released || state == TaskState::bound;
  }
};

/// Tasks per slice. This is the largest number for which a record with a stop order and a reason
/// for every task stays within 8 KiB, the smallest value limit of a deployment's state service.
inline constexpr std::uint32_t kSliceTasks = 64;

struct SliceRecord {
  JobId job_id;
  std::uint32_t number = 0;
  std::vector<TaskRecord> tasks;

  [[nodiscard]] std::uint32_t first_task_index() const { return number * kSliceTasks; }
  [[nodiscard]] bool all_done() const;
};

std::uint32_t slice_count(const JobSpec& job);
/// The number of tasks in slice `number`, which must exist. Only the last slice of a job may have
/// fewer than `kSliceTasks`.
std::uint32_t slice_size(const JobSpec& job, std::uint32_t number);

enum class MachineState {
  up,       // sends heartbeats
  silent,   // has sent no heartbeat for a while, which is no evidence that its tasks ended
  suspect,  // a task failed on it; takes no tasks until the next attempt of the failed task shows
            // whether the machine or the job was the cause
  quarantined,  // makes tasks fail; takes no tasks and will be returned to the cloud
  draining,     // takes no new tasks, because of a preemption notice or because it is not needed
  deleting,     // the leader has decided to delete it
  gone          // there is evidence that nothing runs on it and nothing ever will
};

const char* name_of(MachineState state);

/// An image that a machine's cache holds.
struct CachedImage {
  ImageId image;
  double gb = 0;

  bool operator==(const CachedImage&) const = default;
};

/// A rented machine, or one that is gone.
struct MachineRecord {
  MachineId machine_id;
  std::string address;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  MachineState state = MachineState::up;
  WallTime since;
  std::optional<WallTime> reclaim_at;
  /// Images that tasks on the machine have used, as far as its cache holds them; the most recently
  /// used is last. They are stored because an estimate in memory is lost when all controllers end
  /// at once.
  std::vector<CachedImage> images;
  JobId failed_job;  // of a suspect machine: the job whose task failed on it

  bool operator==(const MachineRecord&) const = default;
};

/// Machines are stored in pages, because each put counts against the state service's rate limit and
/// a thousand machines come up within seconds.
struct MachinePage {
  std::vector<MachineRecord> machines;
};

/// The maximum number of images in a machine's record.
inline constexpr std::size_t kMaxImages = 24;

/// Records the use of an image in the way the machine's cache does: the image becomes the last of
/// the list, and the least recently used images are dropped while the list exceeds `cache_gb` or
/// `kMaxImages`. Returns false if the image was already in the list.
bool note_image(std::vector<CachedImage>& images, const ImageId& image, double gb, double cache_gb);

/// A request for machines from the cloud. It is stored until each of its machines has a record or
/// until it expires. Its name makes it idempotent.
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
/// Drops notes until the record fits `max_bytes`: the oldest first, except that the first note is
/// dropped last.
std::string encode(GuaranteeRecord r, std::size_t max_bytes);
/// Encodes the slice in the plain form, whatever its size.
std::string encode(const SliceRecord& r);
/// Encodes the slice in the plain form if it fits, otherwise in the compact form if this is
/// allowed. The result exceeds `size.max_bytes` if no allowed form fits.
std::string encode(const SliceRecord& r, const RecordSize& size);
/// Encodes the page in the plain form if it fits with all images. Otherwise the least recently used
/// images are dropped until the page fits: from the compact form if this is allowed, else from the
/// plain form. The result exceeds `size.max_bytes` if no allowed form fits.
std::string encode(const MachinePage& page, const RecordSize& size);
std::string encode(const ProvisioningRequest& r);
/// Drops notes in the same way as for a guarantee record.
std::string encode(FinalRecord r, std::size_t max_bytes);
std::string encode(const std::vector<MachineType>& types);

// Each returns false, and leaves `out` in an unspecified state, if this version can't read the
// value.
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

/// True for a slice or page in the compact form, which is written only if the plain form exceeds
/// the value limit.
bool is_compact_slice(const json::Value& v);
bool is_compact_page(const json::Value& v);

void write_notes(json::Writer& out, const std::vector<Note>& notes);

}  // namespace marblevale

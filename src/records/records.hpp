// The records that controllers keep in the state service, their keys and codecs. Each value is a
// small JSON object with a format number.
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

namespace marblevale {

/// One prefix for all that is unfinished, so that one watch follows it. Jobs that are over move to
/// `final/`, which nobody watches: a restart reads only what is unfinished.
namespace keys {
inline constexpr const char* kLive = "mv/";
inline constexpr const char* kLeader = "mv/leader";
inline constexpr const char* kTypes = "mv/types";
std::string node(const NodeId& node);
std::string shard(const ZoneId& zone);
std::string job(const JobId& job_id);
std::string guarantee_record(const JobId& job_id);
std::string slice(const JobId& job_id, std::uint32_t number);
/// The page that has the machine: machines whose names follow one another share one.
std::string machine_page(const ZoneId& zone, const MachineId& machine_id);
std::string provisioning_request(const std::string& name);
std::string final_job(const JobId& job_id);
}  // namespace keys

/// What a stored value may take, and in which form a record may be written.
struct RecordSize {
  std::size_t max_bytes = 8192;
  /// The compact forms of slices and machine pages, which versions before 2 can't read. They are
  /// written only where the plain form does not fit.
  bool compact_allowed = false;
};

/// The newest form of records that this version reads: 1 plain, 2 compact as well.
inline constexpr std::uint64_t kReadsForms = 2;

struct LeaderRecord {
  NodeId node;
  ProcessIncarnation incarnation;
};

/// A live controller. Its shards hang on `shard_permit`, the lease that it renews for them.
struct NodeRecord {
  NodeId node;
  ProcessIncarnation incarnation;
  LeaseId shard_lease_id;
  std::uint64_t reads_forms = 1;  // absent in the records of versions that read only plain ones
};

/// Whose shard it is. The revision of this record is the shard's fencing token.
struct ShardRecord {
  ZoneId zone;
  NodeId holder;
  ProcessIncarnation incarnation;
  std::uint64_t generation = 0;
};

struct JobRecord {
  JobSpec spec;
  WallTime accepted;
  std::optional<WallTime> cancelled;
};

/// Something that happened to a job's plan, kept for the member who asks why.
struct Note {
  WallTime at;
  std::string what;
};

/// Start and end that a slice was granted.
struct Guarantee {
  std::uint32_t slice = 0;
  WallTime first;  // the start granted at arrival
  WallTime start;
  WallTime end;
};

struct GuaranteeRecord {
  JobId job_id;
  std::vector<Guarantee> guarantees;  // of the slices that are reserved now
  std::vector<Note> notes;            // the latest, bounded

  void note(WallTime at, std::string what);
};

enum class TaskState { idle, released, bound, done };

struct StopOrder {
  Duration grace_period{};
  std::string reason;
};

/// A task's place. Released: the leader has given it room on `host`; bound: the holder of `zone`
/// has committed that it runs there. It stays so until there is proof that it is gone.
struct TaskRecord {
  TaskState state = TaskState::idle;
  Attempt attempt;
  ZoneId zone;
  MachineId machine_id;
  WorkerEpoch epoch;         // the worker's epoch when it was bound
  WallTime since;            // of the release, the binding, or the last end
  WallTime running;          // when it was first seen running; 0: not yet
  Duration progress{};       // saved
  std::uint32_t faults = 0;  // ends by error
  MachineId failed_on;       // machine of the last end by error
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
  up,       // reports
  silent,   // has not reported for a while; silence proves nothing
  suspect,  // a task failed on it: takes none until the task's next try tells whose fault it was
  quarantined,  // fails tasks: takes none, to be returned
  draining,     // no new tasks: notice from the cloud, or no use for it
  deleting,     // the leader has decided to delete it
  gone          // proof: nothing runs there, ever
};

const char* name_of(MachineState state);

/// An image that a machine's cache holds.
struct CachedImage {
  ImageId image;
  double gb = 0;

  bool operator==(const CachedImage&) const = default;
};

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
  /// here because a guess in memory is lost when all controllers end at once.
  std::vector<CachedImage> images;
  JobId blamed;  // of a suspect: the job whose task failed

  bool operator==(const MachineRecord&) const = default;
};

/// Machines are kept in pages, since each put counts against the state service's rate, and a
/// thousand machines come up within seconds.
struct MachinePage {
  std::vector<MachineRecord> machines;
};
inline constexpr std::uint64_t kPageMachines = 24;

/// Images that a machine's record lists at the most.
inline constexpr std::size_t kMaxImages = 24;

/// Notes that the image was used: the latest last, the oldest dropped beyond `cache_gb`. False when
/// it was in the list.
bool note_image(std::vector<CachedImage>& images, const ImageId& image, double gb, double cache_gb);

struct ProvisioningRequest {
  std::string name;
  std::string machine_type;
  ZoneId zone;
  bool spot = false;
  std::uint32_t how_many = 0;
  WallTime asked;
  bool answered = false;
  std::vector<MachineId> machine_ids;
};

enum class FinalState { done, cancelled };

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
/// Notes are left out as in a grant.
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

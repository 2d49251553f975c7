// The codec of slice records, which have a plain and a compact form.
#include <algorithm>

#include "records/compact_encoding.hpp"
#include "records/record_fields.hpp"
#include "records/records.hpp"

namespace marblevale {

using record_fields::index_or_append;
using record_fields::read;
using record_fields::read_texts;
using record_fields::write_texts;

namespace {

constexpr std::uint64_t kSliceFormat = 2;  // format 1 had named task fields and 32 tasks per slice
constexpr std::uint64_t kCompactSliceFormat = 3;
/// Replaces the reasons of stop orders if the reasons alone would make a slice too large. The job's
/// notes contain each reason.
constexpr const char* kReasonPlaceholder = "stopped; the job's notes tell why";

/// Data that the tasks of a slice share, so that 64 tasks fit one value: the earliest of their
/// times, and each zone and reason once.
struct SliceCommon {
  std::int64_t base = 0;
  std::vector<std::string> zones;
  std::vector<std::string> reasons;
};

// A task is written as a list without field names:
// - always: state, attempt, since, progress, failure count, machine of the last failure
// - if the task is placed: zone, machine, epoch, running since
// - if a placed task has a stop order: grace period, reason
// A time is stored as the milliseconds since the base plus 1, so that 0 stands for no time.
void write_task(json::Writer& out, const TaskRecord& task, SliceCommon& common) {
  const auto time = [&](WallTime at) {
    return unix_milliseconds(at) == 0 ? 0 : unix_milliseconds(at) - common.base + 1;
  };
  out.open_list().value(static_cast<int>(task.state)).value(task.attempt.get());
  out.value(time(task.since)).value(task.progress.count());
  out.value(static_cast<std::uint64_t>(task.failure_count)).value(task.failed_on.get());
  if (task.placed()) {
    out.value(index_or_append(common.zones, task.zone.get())).value(task.machine_id.get());
    out.value(task.epoch.get()).value(time(task.running_since));
    if (task.stop) {
      out.value(task.stop->grace_period.count());
      out.value(index_or_append(common.reasons, task.stop->reason.get()));
    }
  }
  out.close_list();
}

/// Reads the items of a list in their order. After an error, `ok()` is false.
class ListReader {
 public:
  explicit ListReader(const json::Value& list) : list_(list) {}
  [[nodiscard]] bool has_more() const { return list_.IsArray() && position_ < list_.Size(); }
  [[nodiscard]] bool ok() const { return ok_; }
  std::int64_t integer() {
    if (!has_more() || !list_[position_].IsInt64()) return fail<std::int64_t>();
    return list_[position_++].GetInt64();
  }
  std::uint64_t count() {
    if (!has_more() || !list_[position_].IsUint64()) return fail<std::uint64_t>();
    return list_[position_++].GetUint64();
  }
  std::string text() {
    if (!has_more() || !list_[position_].IsString()) return fail<std::string>();
    return list_[position_++].GetString();
  }

 private:
  template <typename T>
  T fail() {
    ok_ = false;
    return T{};
  }
  const json::Value& list_;
  rapidjson::SizeType position_ = 0;
  bool ok_ = true;
};

bool read_task(const json::Value& v, TaskRecord& task, const SliceCommon& common) {
  ListReader in(v);
  const auto time = [&](std::int64_t ms) {
    return from_unix_milliseconds(ms == 0 ? 0 : ms + common.base - 1);
  };
  const std::uint64_t state = in.count();
  if (!in.ok() || state > static_cast<std::uint64_t>(TaskState::done)) return false;
  task.state = static_cast<TaskState>(state);
  task.attempt = Attempt(in.count());
  task.since = time(in.integer());
  task.progress = Duration{in.integer()};
  task.failure_count = static_cast<std::uint32_t>(in.count());
  task.failed_on = MachineId(in.text());
  if (!task.placed()) return in.ok();
  const std::uint64_t zone = in.count();
  task.machine_id = MachineId(in.text());
  task.epoch = WorkerEpoch(in.count());
  task.running_since = time(in.integer());
  if (!in.ok() || zone >= common.zones.size()) return false;
  task.zone = ZoneId(common.zones[zone]);
  if (!in.has_more()) return true;
  const Duration grace_period{in.integer()};
  const std::uint64_t reason = in.count();
  if (!in.ok() || reason >= common.reasons.size()) return false;
  task.stop = StopOrder{grace_period, StopReason(common.reasons[reason])};
  return true;
}

/// The precision of the compact form: the unit of times, and whether reasons of stop orders are
/// kept. A slice is written with the first of `kCompactDetails` that fits.
struct CompactDetail {
  std::int64_t time_unit_ms;
  bool keeps_reasons;
};
constexpr std::int64_t kMaxUnitMs = 1000;
constexpr std::array<CompactDetail, 3> kCompactDetails{{{1, true}, {1000, true}, {1000, false}}};

/// Bits of a task's header in the compact form: its state, and which optional fields follow.
constexpr std::uint64_t kStateBits = 3;
constexpr std::uint64_t kHasProgress = 4;
constexpr std::uint64_t kHasFailures = 8;
constexpr std::uint64_t kHasRunning = 16;
constexpr std::uint64_t kHasStop = 32;

/// Writes tasks in the compact form: as numbers only, without the fields that are absent.
class CompactTaskWriter {
 public:
  CompactTaskWriter(std::int64_t base, const CompactDetail& detail)
      : base_(base), detail_(detail) {}

  void write(const TaskRecord& task) {
    const bool placed = task.placed();
    auto head = static_cast<std::uint64_t>(task.state);
    if (task.progress > Duration{0}) head |= kHasProgress;
    if (task.failure_count > 0) head |= kHasFailures;
    if (placed && task.running_since != WallTime{}) head |= kHasRunning;
    if (placed && task.stop) head |= kHasStop;
    bytes_.put(head);
    bytes_.put(task.attempt.get());
    bytes_.put(time(task.since));
    if ((head & kHasProgress) != 0) put_duration(task.progress);
    if ((head & kHasFailures) != 0) {
      bytes_.put(task.failure_count);
      bytes_.put(names_.number_of(task.failed_on.get()));
    }
    if (placed) write_place(task, head);
  }

  void write_to(json::Writer& out) const {
    out.put("unit", detail_.time_unit_ms).put("tasks", bytes_.base64());
    record_fields::write_names(out, names_);
    record_fields::write_texts(out, "zones", zones_);
    record_fields::write_texts(out, "reasons", reasons_);
  }

 private:
  void write_place(const TaskRecord& task, std::uint64_t head) {
    bytes_.put(index_or_append(zones_, task.zone.get()));
    bytes_.put(names_.number_of(task.machine_id.get()));
    bytes_.put(task.epoch.get());
    if ((head & kHasRunning) != 0) bytes_.put(time(task.running_since));
    if ((head & kHasStop) == 0) return;
    put_duration(task.stop->grace_period);
    bytes_.put(index_or_append(reasons_, detail_.keeps_reasons ? task.stop->reason.get()
                                                               : std::string(kReasonPlaceholder)));
  }
  [[nodiscard]] std::uint64_t time(WallTime at) const {
    if (unix_milliseconds(at) == 0) return 0;
    return static_cast<std::uint64_t>((unix_milliseconds(at) - base_) / detail_.time_unit_ms) + 1;
  }
  void put_duration(Duration duration) {
    bytes_.put(static_cast<std::uint64_t>(duration.count() / detail_.time_unit_ms));
  }

  std::int64_t base_;
  CompactDetail detail_;
  ByteWriter bytes_;
  MachineNames names_;
  std::vector<std::string> zones_;
  std::vector<std::string> reasons_;
};

/// Reads the tasks that a `CompactTaskWriter` wrote.
class CompactTaskReader {
 public:
  /// False when a field is missing or of another type.
  bool open(const json::Value& v) {
    const auto tasks = json::text(v, "tasks");
    const auto unit = json::integer(v, "unit");
    const auto base = json::integer(v, "base");
    if (!tasks || !unit || !base || *unit <= 0 || *unit > kMaxUnitMs ||
        !record_fields::read_names(v, names_) || !read_texts(v, "zones", zones_) ||
        !read_texts(v, "reasons", reasons_)) {
      return false;
    }
    unit_ms_ = *unit;
    base_ = *base;
    bytes_ = ByteReader(*tasks);
    return true;
  }

  bool read_task(TaskRecord& task) {
    const std::uint64_t head = bytes_.number();
    task.state = static_cast<TaskState>(head & kStateBits);
    task.attempt = Attempt(bytes_.number());
    task.since = time();
    if ((head & kHasProgress) != 0) task.progress = duration();
    if ((head & kHasFailures) != 0) {
      task.failure_count = static_cast<std::uint32_t>(bytes_.number());
      if (!read_machine(task.failed_on)) return false;
    }
    if (!task.placed()) return bytes_.ok();
    return read_place(task, head) && bytes_.ok();
  }

 private:
  bool read_place(TaskRecord& task, std::uint64_t head) {
    const std::uint64_t zone = bytes_.number();
    if (zone >= zones_.size() || !read_machine(task.machine_id)) return false;
    task.zone = ZoneId(zones_[zone]);
    task.epoch = WorkerEpoch(bytes_.number());
    if ((head & kHasRunning) != 0) task.running_since = time();
    if ((head & kHasStop) == 0) return true;
    const Duration grace_period = duration();
    const std::uint64_t reason = bytes_.number();
    if (reason >= reasons_.size()) return false;
    task.stop = StopOrder{grace_period, StopReason(reasons_[reason])};
    return true;
  }
  bool read_machine(MachineId& out) {
    const auto name = names_.name_of(bytes_.number());
    if (name) out = MachineId(*name);
    return name.has_value();
  }
  WallTime time() {
    const std::uint64_t units = bytes_.time();
    if (units == 0) return WallTime{};
    return from_unix_milliseconds(base_ + static_cast<std::int64_t>(units - 1) * unit_ms_);
  }
  Duration duration() { return Duration{static_cast<std::int64_t>(bytes_.time()) * unit_ms_}; }

  std::int64_t base_ = 0;
  std::int64_t unit_ms_ = 1;
  ByteReader bytes_{""};
  MachineNames names_;
  std::vector<std::string> zones_;
  std::vector<std::string> reasons_;
};

/// The earliest of the tasks' times in Unix milliseconds; 0 if no task has a time.
std::int64_t earliest_time(const SliceRecord& r) {
  std::int64_t base = 0;
  for (const TaskRecord& task : r.tasks) {
    for (const WallTime at : {task.since, task.running_since}) {
      if (unix_milliseconds(at) != 0 && (base == 0 || unix_milliseconds(at) < base))
        base = unix_milliseconds(at);
    }
  }
  return base;
}

std::string encode_compact(const SliceRecord& r, const CompactDetail& detail) {
  const std::int64_t base = earliest_time(r);
  CompactTaskWriter tasks(base, detail);
  for (const TaskRecord& task : r.tasks) tasks.write(task);
  json::Writer out;
  out.open()
      .put("v", kCompactSliceFormat)
      .put("uid", r.job_id.get())
      .put("n", static_cast<std::uint64_t>(r.number))
      .put("count", static_cast<std::uint64_t>(r.tasks.size()))
      .put("base", base);
  tasks.write_to(out);
  out.close();
  return out.str();
}

bool decode_compact(const json::Value& v, SliceRecord& out) {
  const auto number = json::count(v, "n");
  const auto count = json::count(v, "count");
  CompactTaskReader tasks;
  if (!number || !count || *count > kSliceTasks || !read(v, "uid", out.job_id) || !tasks.open(v)) {
    return false;
  }
  out.number = static_cast<std::uint32_t>(*number);
  out.tasks.resize(*count);
  return std::all_of(out.tasks.begin(), out.tasks.end(),
                     [&](TaskRecord& task) { return tasks.read_task(task); });
}

}  // namespace

std::string encode(const SliceRecord& r) {
  SliceCommon common;
  common.base = earliest_time(r);
  json::Writer out;
  out.open()
      .put("v", kSliceFormat)
      .put("uid", r.job_id.get())
      .put("n", static_cast<std::uint64_t>(r.number))
      .put("base", common.base)
      .key("tasks")
      .open_list();
  for (const TaskRecord& task : r.tasks) write_task(out, task, common);
  out.close_list();
  write_texts(out, "zones", common.zones);
  write_texts(out, "reasons", common.reasons);
  out.close();
  return out.str();
}

std::string encode(const SliceRecord& r, const RecordSize& size) {
  std::string text = encode(r);
  if (!size.compact_allowed) return text;
  for (const CompactDetail& detail : kCompactDetails) {
    if (text.size() <= size.max_bytes) break;
    text = encode_compact(r, detail);
  }
  return text;
}

bool is_compact_slice(const json::Value& v) { return json::count(v, "v") == kCompactSliceFormat; }

bool decode(const json::Value& v, SliceRecord& out) {
  if (is_compact_slice(v)) return decode_compact(v, out);
  const json::Value* tasks = json::list(v, "tasks");
  const auto number = json::count(v, "n");
  const auto base = json::integer(v, "base");
  SliceCommon common;
  if (json::count(v, "v") != kSliceFormat || tasks == nullptr || !number || !base ||
      !read(v, "uid", out.job_id) || !read_texts(v, "zones", common.zones) ||
      !read_texts(v, "reasons", common.reasons)) {
    return false;
  }
  common.base = *base;
  out.number = static_cast<std::uint32_t>(*number);
  out.tasks.resize(tasks->Size());
  for (rapidjson::SizeType i = 0; i < tasks->Size(); ++i) {
    if (!read_task((*tasks)[i], out.tasks[i], common)) return false;
  }
  return true;
}

}  // namespace marblevale

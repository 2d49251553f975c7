// The codec of slice records.
#include <algorithm>

#include "store/record_fields.hpp"
#include "store/records.hpp"

namespace marblevale {

using record_fields::read;
using record_fields::read_texts;
using record_fields::write_texts;

namespace {

constexpr std::uint64_t kSliceFormat = 2;  // 1 had tasks with named fields, 32 to a slice

/// What the tasks of a slice share, so that 64 of them fit one value: the first of their times, and
/// each zone and reason once.
struct SliceCommon {
  std::int64_t base = 0;
  std::vector<std::string> zones;
  std::vector<std::string> reasons;

  static std::int64_t index(std::vector<std::string>& list, const std::string& text) {
    const auto it = std::find(list.begin(), list.end(), text);
    if (it != list.end()) return it - list.begin();
    list.push_back(text);
    return static_cast<std::int64_t>(list.size()) - 1;
  }
};

// A task is a list: state, attempt, since, progress, faults, last failed on; when it is placed,
// also zone, host, session, running; when it is to stop, also grace period and reason. Times count
// from the base, plus one, so that 0 stands for none.
void write_task(json::Writer& out, const TaskRecord& task, SliceCommon& common) {
  const auto time = [&](WallTime at) { return at.ms == 0 ? 0 : at.ms - common.base + 1; };
  out.open_list().value(static_cast<int>(task.state)).value(task.attempt.get());
  out.value(time(task.since)).value(task.progress.ms);
  out.value(static_cast<std::uint64_t>(task.faults)).value(task.failed_on.get());
  if (task.placed()) {
    out.value(SliceCommon::index(common.zones, task.zone.get())).value(task.machine_id.get());
    out.value(task.session.get()).value(time(task.running));
    if (task.stop) {
      out.value(task.stop->grace_period.ms);
      out.value(SliceCommon::index(common.reasons, task.stop->reason));
    }
  }
  out.close_list();
}

/// The fields of a list in their order; a fault in one is remembered.
class ListReader {
 public:
  explicit ListReader(const json::Value& list) : list_(list) {}
  [[nodiscard]] bool more() const { return list_.IsArray() && at_ < list_.Size(); }
  [[nodiscard]] bool ok() const { return ok_; }
  std::int64_t integer() {
    if (!more() || !list_[at_].IsInt64()) return fault<std::int64_t>();
    return list_[at_++].GetInt64();
  }
  std::uint64_t count() {
    if (!more() || !list_[at_].IsUint64()) return fault<std::uint64_t>();
    return list_[at_++].GetUint64();
  }
  std::string text() {
    if (!more() || !list_[at_].IsString()) return fault<std::string>();
    return list_[at_++].GetString();
  }

 private:
  template <typename T>
  T fault() {
    ok_ = false;
    return T{};
  }
  const json::Value& list_;
  rapidjson::SizeType at_ = 0;
  bool ok_ = true;
};

bool read_task(const json::Value& v, TaskRecord& task, const SliceCommon& common) {
  ListReader in(v);
  const auto time = [&](std::int64_t ms) { return WallTime{ms == 0 ? 0 : ms + common.base - 1}; };
  const std::uint64_t state = in.count();
  if (!in.ok() || state > static_cast<std::uint64_t>(TaskState::done)) return false;
  task.state = static_cast<TaskState>(state);
  task.attempt = Attempt(in.count());
  task.since = time(in.integer());
  task.progress = Duration{in.integer()};
  task.faults = static_cast<std::uint32_t>(in.count());
  task.failed_on = MachineId(in.text());
  if (!task.placed()) return in.ok();
  const std::uint64_t zone = in.count();
  task.machine_id = MachineId(in.text());
  task.session = SessionId(in.count());
  task.running = time(in.integer());
  if (!in.ok() || zone >= common.zones.size()) return false;
  task.zone = ZoneId(common.zones[zone]);
  if (!in.more()) return true;
  const Duration grace_period{in.integer()};
  const std::uint64_t reason = in.count();
  if (!in.ok() || reason >= common.reasons.size()) return false;
  task.stop = StopOrder{grace_period, common.reasons[reason]};
  return true;
}

}  // namespace

std::string encode(const SliceRecord& r) {
  SliceCommon common;
  for (const TaskRecord& task : r.tasks) {
    for (const WallTime at : {task.since, task.running}) {
      if (at.ms != 0 && (common.base == 0 || at.ms < common.base)) common.base = at.ms;
    }
  }
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

bool decode(const json::Value& v, SliceRecord& out) {
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

#include "store/records.hpp"

#include <algorithm>
#include <charconv>

namespace marblevale {

namespace {

constexpr std::uint64_t kFormat = 1;
constexpr std::uint64_t kSliceFormat = 2;  // 1 had tasks with named fields, 32 to a slice
constexpr std::uint64_t kPageFormat = 2;   // 1 was one record for each machine
constexpr std::size_t kMaxNotes = 16;
constexpr std::size_t kMaxImages = 24;

bool known_format(const json::Value& v) { return json::count(v, "v") == kFormat; }

template <typename S>
bool read(const json::Value& v, const char* name, S& out) {
  if constexpr (std::is_same_v<std::decay_t<decltype(out.get())>, std::string>) {
    const auto text = json::text(v, name);
    if (text) out = S(*text);
    return text.has_value();
  } else {
    const auto n = json::count(v, name);
    if (n) out = S(*n);
    return n.has_value();
  }
}

bool read(const json::Value& v, const char* name, WallTime& out) {
  const auto ms = json::integer(v, name);
  if (ms) out = {*ms};
  return ms.has_value();
}

bool read_notes(const json::Value& v, std::vector<Note>& out) {
  const json::Value* notes = json::list(v, "notes");
  if (notes == nullptr) return false;
  for (const auto& item : notes->GetArray()) {
    Note note;
    if (!read(item, "at", note.at)) return false;
    note.what = json::text(item, "what").value_or("");
    out.push_back(std::move(note));
  }
  return true;
}

constexpr std::array<const char*, 7> kMachineStates{
    "up", "silent", "suspect", "quarantined", "draining", "deleting", "gone"};

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

bool read_texts(const json::Value& v, const char* name, std::vector<std::string>& out) {
  const json::Value* list = json::list(v, name);
  if (list == nullptr) return false;
  for (const auto& item : list->GetArray()) {
    if (!item.IsString()) return false;
    out.emplace_back(item.GetString());
  }
  return true;
}

void write_texts(json::Writer& out, const char* name, const std::vector<std::string>& texts) {
  out.key(name).open_list();
  for (const std::string& text : texts) out.value(text);
  out.close_list();
}

}  // namespace

namespace keys {
std::string node(const NodeId& node) { return "mv/nodes/" + node.get(); }
std::string block(const ZoneId& zone) { return "mv/blocks/" + zone.get(); }
std::string job(const JobId& job_id) { return "mv/jobs/" + job_id.get(); }
std::string grant(const JobId& job_id) { return "mv/grants/" + job_id.get(); }
std::string slice(const JobId& job_id, std::uint32_t number) {
  return "mv/slices/" + job_id.get() + "/" + std::to_string(number);
}
std::string machine_page(const ZoneId& zone, const MachineId& machine_id) {
  const std::string& name = machine_id.get();
  std::size_t digits = name.size();
  while (digits > 0 && name[digits - 1] >= '0' && name[digits - 1] <= '9') --digits;
  std::uint64_t number = 0;
  const auto [end, fault] =
      std::from_chars(name.data() + digits, name.data() + name.size(), number);
  const bool numbered = fault == std::errc{} && end == name.data() + name.size();
  return "mv/machines/" + zone.get() + "/" + name.substr(0, digits) +
         (numbered ? std::to_string(number / kPageMachines) : "");
}
std::string rental(const std::string& name) { return "mv/hires/" + name; }
std::string final_job(const JobId& job_id) { return "final/" + job_id.get(); }
}  // namespace keys

const char* name_of(MachineState state) {
  return kMachineStates.at(static_cast<std::size_t>(state));
}

void GrantRecord::note(WallTime at, std::string what) {
  if (notes.size() >= kMaxNotes) {
    // The first note tells what was granted at arrival; it stays.
    notes.erase(notes.begin() + 1);
  }
  notes.push_back({at, std::move(what)});
}

bool SliceRecord::all_done() const {
  return std::all_of(tasks.begin(), tasks.end(),
                     [](const TaskRecord& t) { return t.state == TaskState::done; });
}

bool note_image(std::vector<std::pair<ImageId, double>>& images, const ImageId& image, double gb,
                double cache_gb) {
  const auto known = std::find_if(images.begin(), images.end(),
                                  [&](const auto& entry) { return entry.first == image; });
  if (known != images.end()) {
    std::rotate(known, known + 1, images.end());
    return false;
  }
  images.emplace_back(image, gb);
  double sum = 0;
  for (const auto& entry : images) sum += entry.second;
  while (images.size() > 1 && (sum > cache_gb || images.size() > kMaxImages)) {
    sum -= images.front().second;
    images.erase(images.begin());
  }
  return true;
}

std::uint32_t slice_count(const JobSpec& job) {
  return (job.task_count + kSliceTasks - 1) / kSliceTasks;
}

std::uint32_t slice_size(const JobSpec& job, std::uint32_t number) {
  return std::min(kSliceTasks, job.task_count - number * kSliceTasks);
}

std::string encode(const LeaderRecord& r) {
  json::Writer out;
  out.open().put("v", kFormat).put("node", r.node.get()).put("nonce", r.nonce.get()).close();
  return out.str();
}

bool decode(const json::Value& v, LeaderRecord& out) {
  return known_format(v) && read(v, "node", out.node) && read(v, "nonce", out.nonce);
}

std::string encode(const NodeRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("node", r.node.get())
      .put("nonce", r.nonce.get())
      .put("permit", r.block_lease_id.get())
      .close();
  return out.str();
}

bool decode(const json::Value& v, NodeRecord& out) {
  return known_format(v) && read(v, "node", out.node) && read(v, "nonce", out.nonce) &&
         read(v, "permit", out.block_lease_id);
}

std::string encode(const BlockRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("zone", r.zone.get())
      .put("holder", r.holder.get())
      .put("nonce", r.nonce.get())
      .put("gen", r.generation)
      .close();
  return out.str();
}

bool decode(const json::Value& v, BlockRecord& out) {
  out.generation = json::count(v, "gen").value_or(0);
  return known_format(v) && read(v, "zone", out.zone) && read(v, "holder", out.holder) &&
         read(v, "nonce", out.nonce);
}

std::string encode(const JobRecord& r) {
  json::Writer out;
  out.open().put("v", kFormat).put("accepted", r.accepted.ms);
  if (r.cancelled) out.put("cancelled", r.cancelled->ms);
  out.key("spec");
  write_job(out, r.spec);
  out.close();
  return out.str();
}

bool decode(const json::Value& v, JobRecord& out) {
  const json::Value* spec = json::field(v, "spec");
  if (!known_format(v) || spec == nullptr || !read(v, "accepted", out.accepted)) return false;
  std::string why;
  auto job = parse_job(*spec, why);
  if (!job) return false;
  out.spec = std::move(*job);
  WallTime cancelled;
  if (read(v, "cancelled", cancelled)) out.cancelled = cancelled;
  return true;
}

void write_notes(json::Writer& out, const std::vector<Note>& notes) {
  out.key("notes").open_list();
  for (const Note& note : notes) out.open().put("at", note.at.ms).put("what", note.what).close();
  out.close_list();
}

std::string encode(const GrantRecord& r) {
  json::Writer out;
  out.open().put("v", kFormat).put("uid", r.job_id.get()).key("grants").open_list();
  for (const Guarantee& g : r.guarantees) {
    out.open()
        .put("slice", static_cast<std::uint64_t>(g.slice))
        .put("first", g.first.ms)
        .put("start", g.start.ms)
        .put("end", g.end.ms)
        .close();
  }
  out.close_list();
  write_notes(out, r.notes);
  out.close();
  return out.str();
}

bool decode(const json::Value& v, GrantRecord& out) {
  const json::Value* grants = json::list(v, "grants");
  if (!known_format(v) || grants == nullptr || !read(v, "uid", out.job_id)) return false;
  for (const auto& item : grants->GetArray()) {
    Guarantee g;
    const auto slice = json::count(item, "slice");
    if (!slice || !read(item, "first", g.first) || !read(item, "start", g.start) ||
        !read(item, "end", g.end)) {
      return false;
    }
    g.slice = static_cast<std::uint32_t>(*slice);
    out.guarantees.push_back(g);
  }
  return read_notes(v, out.notes);
}

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

namespace {

void write_machine(json::Writer& out, const MachineRecord& r, std::size_t images) {
  out.open()
      .put("h", r.machine_id.get())
      .put("a", r.address)
      .put("b", r.machine_type)
      .put("z", r.zone.get())
      .put("s", name_of(r.state))
      .put("t", r.since.ms);
  if (r.spot) out.put("spot", true);
  if (r.reclaim_at) out.put("recall", r.reclaim_at->ms);
  if (r.blamed != JobId{}) out.put("blamed", r.blamed.get());
  if (!r.images.empty() && images > 0) {
    out.key("i").open_list();
    for (std::size_t i = r.images.size() - std::min(images, r.images.size()); i < r.images.size();
         ++i) {
      out.value(r.images[i].first.get()).value(r.images[i].second);
    }
    out.close_list();
  }
  out.close();
}

bool read_machine(const json::Value& v, MachineRecord& out) {
  const auto state = json::text(v, "s");
  if (!state || !read(v, "h", out.machine_id) || !read(v, "z", out.zone) ||
      !read(v, "t", out.since)) {
    return false;
  }
  const auto* it = std::find(kMachineStates.begin(), kMachineStates.end(), *state);
  if (it == kMachineStates.end()) return false;
  out.state = static_cast<MachineState>(it - kMachineStates.begin());
  out.address = json::text(v, "a").value_or("");
  out.machine_type = json::text(v, "b").value_or("");
  out.spot = json::flag(v, "spot").value_or(false);
  read(v, "blamed", out.blamed);
  if (const json::Value* images = json::list(v, "i")) {
    for (rapidjson::SizeType i = 0; i + 1 < images->Size(); i += 2) {
      if (!(*images)[i].IsString() || !(*images)[i + 1].IsNumber()) return false;
      out.images.emplace_back(ImageId((*images)[i].GetString()), (*images)[i + 1].GetDouble());
    }
  }
  WallTime reclaim_at;
  if (read(v, "recall", reclaim_at)) out.reclaim_at = reclaim_at;
  return true;
}

}  // namespace

std::string encode(const MachinePage& page, std::size_t most) {
  std::string text;
  for (std::size_t images = kMaxImages + 1; images-- > 0;) {
    json::Writer out;
    out.open().put("v", kPageFormat).key("m").open_list();
    for (const MachineRecord& machine : page.machines) write_machine(out, machine, images);
    out.close_list().close();
    text = out.str();
    if (text.size() <= most) break;
    images = std::min(images, kMaxImages / 2);
  }
  return text;
}

bool decode(const json::Value& v, MachinePage& out) {
  const json::Value* machines = json::list(v, "m");
  if (json::count(v, "v") != kPageFormat || machines == nullptr) return false;
  for (const auto& item : machines->GetArray()) {
    MachineRecord machine;
    if (!read_machine(item, machine)) return false;
    out.machines.push_back(std::move(machine));
  }
  return true;
}

std::string encode(const RentalRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("name", r.name)
      .put("build", r.machine_type)
      .put("zone", r.zone.get())
      .put("spot", r.spot)
      .put("count", static_cast<std::uint64_t>(r.how_many))
      .put("asked", r.asked.ms)
      .put("answered", r.answered)
      .key("hosts")
      .open_list();
  for (const auto& machine_id : r.machine_ids) out.value(machine_id.get());
  out.close_list().close();
  return out.str();
}

bool decode(const json::Value& v, RentalRecord& out) {
  const json::Value* machine_ids = json::list(v, "hosts");
  const auto name = json::text(v, "name");
  if (!known_format(v) || machine_ids == nullptr || !name || !read(v, "zone", out.zone) ||
      !read(v, "asked", out.asked)) {
    return false;
  }
  out.name = *name;
  out.machine_type = json::text(v, "build").value_or("");
  out.spot = json::flag(v, "spot").value_or(false);
  out.how_many = static_cast<std::uint32_t>(json::count(v, "count").value_or(0));
  out.answered = json::flag(v, "answered").value_or(false);
  for (const auto& machine_id : machine_ids->GetArray()) {
    if (machine_id.IsString()) out.machine_ids.emplace_back(machine_id.GetString());
  }
  return true;
}

std::string encode(const FinalRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("uid", r.job_id.get())
      .put("state", r.state == FinalState::done ? "done" : "cancelled")
      .put("parts", static_cast<std::uint64_t>(r.task_count))
      .put("accepted", r.accepted.ms)
      .put("ended", r.ended.ms);
  write_notes(out, r.notes);
  out.close();
  return out.str();
}

bool decode(const json::Value& v, FinalRecord& out) {
  const auto state = json::text(v, "state");
  if (!known_format(v) || !state || !read(v, "uid", out.job_id)) return false;
  out.state = *state == "done" ? FinalState::done : FinalState::cancelled;
  out.task_count = static_cast<std::uint32_t>(json::count(v, "parts").value_or(0));
  read(v, "accepted", out.accepted);
  read(v, "ended", out.ended);
  return read_notes(v, out.notes);
}

std::string encode(const std::vector<MachineType>& types) {
  json::Writer out;
  write_machine_types(out, types);
  return out.str();
}

bool decode(const json::Value& v, std::vector<MachineType>& out) {
  auto types = parse_machine_types(v);
  if (types) out = std::move(*types);
  return types.has_value();
}

}  // namespace marblevale

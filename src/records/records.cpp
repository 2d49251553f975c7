#include "records/records.hpp"

#include <algorithm>

#include "records/record_fields.hpp"

namespace marblevale {

using record_fields::kFormat;
using record_fields::known_format;
using record_fields::read;

namespace {

constexpr std::size_t kMaxNotes = 16;

bool read_notes(const json::Value& v, std::vector<Note>& out) {
  const json::Value* notes = json::list(v, "notes");
  if (notes == nullptr) return false;
  for (const auto& item : notes->GetArray()) {
    Note note;
    if (!read(item, "at", note.at)) return false;
    note.text = json::text(item, "what").value_or("");
    out.push_back(std::move(note));
  }
  return true;
}

}  // namespace

void GuaranteeRecord::note(WallTime at, std::string text) {
  if (notes.size() >= kMaxNotes) {
    // The first note is kept, because it says which start was granted at arrival.
    notes.erase(notes.begin() + 1);
  }
  notes.push_back({at, std::move(text)});
}

bool SliceRecord::all_done() const {
  return std::all_of(tasks.begin(), tasks.end(),
                     [](const TaskRecord& t) { return t.state == TaskState::done; });
}

bool note_image(std::vector<CachedImage>& images, const ImageId& image, double gb,
                double cache_gb) {
  const auto known = std::find_if(images.begin(), images.end(),
                                  [&](const auto& entry) { return entry.image == image; });
  if (known != images.end()) {
    std::rotate(known, known + 1, images.end());
    return false;
  }
  images.push_back({image, gb});
  double sum = 0;
  for (const auto& entry : images) sum += entry.gb;
  while (images.size() > 1 && (sum > cache_gb || images.size() > kMaxImages)) {
    sum -= images.front().gb;
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
  out.open().put("v", kFormat).put("node", r.node.get()).put("nonce", r.incarnation.get()).close();
  return out.str();
}

bool decode(const json::Value& v, LeaderRecord& out) {
  return known_format(v) && read(v, "node", out.node) && read(v, "nonce", out.incarnation);
}

std::string encode(const NodeRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("node", r.node.get())
      .put("nonce", r.incarnation.get())
      .put("permit", r.shard_lease_id.get())
      .put("reads", r.newest_readable_form)
      .close();
  return out.str();
}

bool decode(const json::Value& v, NodeRecord& out) {
  out.newest_readable_form = json::count(v, "reads").value_or(1);
  return known_format(v) && read(v, "node", out.node) && read(v, "nonce", out.incarnation) &&
         read(v, "permit", out.shard_lease_id);
}

std::string encode(const ShardRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("zone", r.zone.get())
      .put("holder", r.holder.get())
      .put("nonce", r.incarnation.get())
      .put("gen", r.generation)
      .close();
  return out.str();
}

bool decode(const json::Value& v, ShardRecord& out) {
  out.generation = json::count(v, "gen").value_or(0);
  return known_format(v) && read(v, "zone", out.zone) && read(v, "holder", out.holder) &&
         read(v, "nonce", out.incarnation);
}

std::string encode(const JobRecord& r) {
  json::Writer out;
  out.open().put("v", kFormat).put("accepted", unix_milliseconds(r.accepted));
  if (r.cancelled) out.put("cancelled", unix_milliseconds(*r.cancelled));
  out.key("spec");
  write_job(out, r.spec);
  out.close();
  return out.str();
}

bool decode(const json::Value& v, JobRecord& out) {
  const json::Value* spec = json::field(v, "spec");
  if (!known_format(v) || spec == nullptr || !read(v, "accepted", out.accepted)) return false;
  auto parsed = parse_job(*spec);
  auto* job = std::get_if<JobSpec>(&parsed);
  if (job == nullptr) return false;
  out.spec = std::move(*job);
  WallTime cancelled;
  if (read(v, "cancelled", cancelled)) out.cancelled = cancelled;
  return true;
}

void write_notes(json::Writer& out, const std::vector<Note>& notes) {
  out.key("notes").open_list();
  for (const Note& note : notes)
    out.open().put("at", unix_milliseconds(note.at)).put("what", note.text).close();
  out.close_list();
}

namespace {

/// Drops notes until the encoded record fits: the oldest first, except that the first note is
/// dropped last, because it says which start was granted at arrival.
template <typename Record, typename Encode>
std::string encode_with_notes(Record& r, std::size_t max_bytes, const Encode& encode_whole) {
  std::string text = encode_whole(r);
  while (text.size() > max_bytes && !r.notes.empty()) {
    r.notes.erase(r.notes.size() > 1 ? r.notes.begin() + 1 : r.notes.begin());
    text = encode_whole(r);
  }
  return text;
}

std::string encode_whole(const GuaranteeRecord& r) {
  json::Writer out;
  out.open().put("v", kFormat).put("uid", r.job_id.get()).key("grants").open_list();
  for (const Guarantee& g : r.guarantees) {
    out.open()
        .put("slice", static_cast<std::uint64_t>(g.slice))
        .put("first", unix_milliseconds(g.initial_start))
        .put("start", unix_milliseconds(g.start))
        .put("end", unix_milliseconds(g.end))
        .close();
  }
  out.close_list();
  write_notes(out, r.notes);
  out.close();
  return out.str();
}

}  // namespace

std::string encode(GuaranteeRecord r, std::size_t max_bytes) {
  return encode_with_notes(r, max_bytes, [](const GuaranteeRecord& g) { return encode_whole(g); });
}

bool decode(const json::Value& v, GuaranteeRecord& out) {
  const json::Value* guarantee_records = json::list(v, "grants");
  if (!known_format(v) || guarantee_records == nullptr || !read(v, "uid", out.job_id)) return false;
  for (const auto& item : guarantee_records->GetArray()) {
    Guarantee g;
    const auto slice = json::count(item, "slice");
    if (!slice || !read(item, "first", g.initial_start) || !read(item, "start", g.start) ||
        !read(item, "end", g.end)) {
      return false;
    }
    g.slice = static_cast<std::uint32_t>(*slice);
    out.guarantees.push_back(g);
  }
  return read_notes(v, out.notes);
}

std::string encode(const ProvisioningRequest& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("name", r.name)
      .put("build", r.machine_type)
      .put("zone", r.zone.get())
      .put("spot", r.spot)
      .put("count", static_cast<std::uint64_t>(r.machine_count))
      .put("asked", unix_milliseconds(r.requested_at))
      .put("answered", r.has_answer)
      .key("hosts")
      .open_list();
  for (const auto& machine_id : r.machine_ids) out.value(machine_id.get());
  out.close_list().close();
  return out.str();
}

bool decode(const json::Value& v, ProvisioningRequest& out) {
  const json::Value* machine_ids = json::list(v, "hosts");
  const auto name = json::text(v, "name");
  if (!known_format(v) || machine_ids == nullptr || !name || !read(v, "zone", out.zone) ||
      !read(v, "asked", out.requested_at)) {
    return false;
  }
  out.name = *name;
  out.machine_type = json::text(v, "build").value_or("");
  out.spot = json::flag(v, "spot").value_or(false);
  out.machine_count = static_cast<std::uint32_t>(json::count(v, "count").value_or(0));
  out.has_answer = json::flag(v, "answered").value_or(false);
  for (const auto& machine_id : machine_ids->GetArray()) {
    if (machine_id.IsString()) out.machine_ids.emplace_back(machine_id.GetString());
  }
  return true;
}

namespace {

std::string encode_whole(const FinalRecord& r) {
  json::Writer out;
  out.open()
      .put("v", kFormat)
      .put("uid", r.job_id.get())
      .put("state", r.state == FinalState::done ? "done" : "cancelled")
      .put("parts", static_cast<std::uint64_t>(r.task_count))
      .put("accepted", unix_milliseconds(r.accepted))
      .put("ended", unix_milliseconds(r.ended));
  write_notes(out, r.notes);
  out.close();
  return out.str();
}

}  // namespace

std::string encode(FinalRecord r, std::size_t max_bytes) {
  return encode_with_notes(r, max_bytes, [](const FinalRecord& f) { return encode_whole(f); });
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

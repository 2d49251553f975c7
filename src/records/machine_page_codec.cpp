// The codec of machine pages, which have a plain and a compact form.
#include <algorithm>
#include <cmath>

#include "records/compact_encoding.hpp"
#include "records/record_fields.hpp"
#include "records/records.hpp"

namespace marblevale {

using record_fields::index_or_append;
using record_fields::read;
using record_fields::read_texts;

namespace {

constexpr std::uint64_t kPageFormat = 2;  // format 1 stored one record per machine
constexpr std::uint64_t kCompactPageFormat = 3;
/// The compact form rounds image sizes to a multiple of this step.
constexpr double kImageGbStep = 0.01;

constexpr std::array<const char*, 7> kMachineStates{
    "up", "silent", "suspect", "quarantined", "draining", "deleting", "gone"};

void write_machine(json::Writer& out, const MachineRecord& r, std::size_t images) {
  out.open()
      .put("h", r.machine_id.get())
      .put("a", r.address)
      .put("b", r.machine_type)
      .put("z", r.zone.get())
      .put("s", name_of(r.state))
      .put("t", unix_milliseconds(r.since));
  if (r.spot) out.put("spot", true);
  if (r.reclaim_at) out.put("recall", unix_milliseconds(*r.reclaim_at));
  if (r.failed_job != JobId{}) out.put("blamed", r.failed_job.get());
  if (!r.images.empty() && images > 0) {
    out.key("i").open_list();
    for (std::size_t i = r.images.size() - std::min(images, r.images.size()); i < r.images.size();
         ++i) {
      out.value(r.images[i].image.get()).value(r.images[i].gb);
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
  read(v, "blamed", out.failed_job);
  if (const json::Value* images = json::list(v, "i")) {
    for (rapidjson::SizeType i = 0; i + 1 < images->Size(); i += 2) {
      if (!(*images)[i].IsString() || !(*images)[i + 1].IsNumber()) return false;
      out.images.push_back({ImageId((*images)[i].GetString()), (*images)[i + 1].GetDouble()});
    }
  }
  WallTime reclaim_at;
  if (read(v, "recall", reclaim_at)) out.reclaim_at = reclaim_at;
  return true;
}

std::string encode_plain(const MachinePage& page, std::size_t images) {
  json::Writer out;
  out.open().put("v", kPageFormat).key("m").open_list();
  for (const MachineRecord& machine : page.machines) write_machine(out, machine, images);
  out.close_list().close();
  return out.str();
}

/// Bits of a machine's header in the compact form: its state, whether it is a spot machine, and
/// which optional fields follow.
constexpr std::uint64_t kStateBits = 7;
constexpr std::uint64_t kIsSpot = 8;
constexpr std::uint64_t kHasReclaim = 16;
constexpr std::uint64_t kHasFailedJob = 32;

/// The optional data of a page that the compact form keeps.
struct CompactDetail {
  std::size_t images;  // at most this many for each machine
  bool failed_job;
};

/// Writes a page in the compact form: each text is stored once, and machines refer to it by index.
class CompactPageWriter {
 public:
  explicit CompactPageWriter(const MachinePage& page) {
    for (const MachineRecord& machine : page.machines) {
      if (base_ == 0 || unix_milliseconds(machine.since) < base_)
        base_ = unix_milliseconds(machine.since);
    }
  }

  void write(const MachineRecord& r, const CompactDetail& detail) {
    const bool has_failed_job = detail.failed_job && r.failed_job != JobId{};
    auto head = static_cast<std::uint64_t>(r.state);
    if (r.spot) head |= kIsSpot;
    if (r.reclaim_at) head |= kHasReclaim;
    if (has_failed_job) head |= kHasFailedJob;
    bytes_.put(head);
    bytes_.put(names_.number_of(r.machine_id.get()));
    bytes_.put(index_or_append(texts_, r.machine_type));
    bytes_.put(index_or_append(texts_, r.zone.get()));
    bytes_.put_signed(unix_milliseconds(r.since) - base_);
    if (r.reclaim_at) bytes_.put_signed(unix_milliseconds(*r.reclaim_at) - base_);
    if (has_failed_job) bytes_.put(index_or_append(texts_, r.failed_job.get()));
    write_images(r, detail.images);
    addresses_.push_back(r.address);
  }

  [[nodiscard]] std::string finish() const {
    json::Writer out;
    out.open().put("v", kCompactPageFormat).put("base", base_).put("m", bytes_.base64());
    record_fields::write_names(out, names_);
    record_fields::write_texts(out, "at", addresses_);
    record_fields::write_texts(out, "texts", texts_);
    out.key("gb").open_list();
    for (const double gb : image_gb_) out.value(gb);
    out.close_list().close();
    return out.str();
  }

 private:
  void write_images(const MachineRecord& r, std::size_t max_images) {
    const std::size_t count = std::min(max_images, r.images.size());
    bytes_.put(count);
    for (std::size_t i = r.images.size() - count; i < r.images.size(); ++i) {
      const double gb = std::round(r.images[i].gb / kImageGbStep) * kImageGbStep;
      bytes_.put(index_or_append(texts_, r.images[i].image.get()));
      bytes_.put(index_or_append(image_gb_, gb));
    }
  }

  std::int64_t base_ = 0;
  ByteWriter bytes_;
  MachineNames names_;
  std::vector<std::string> addresses_;
  std::vector<std::string> texts_;  // types, zones, images and jobs
  std::vector<double> image_gb_;
};

std::string encode_compact(const MachinePage& page, const CompactDetail& detail) {
  CompactPageWriter out(page);
  for (const MachineRecord& machine : page.machines) out.write(machine, detail);
  return out.finish();
}

/// Reads a page that a `CompactPageWriter` wrote.
class CompactPageReader {
 public:
  bool open(const json::Value& v) {
    const auto machines = json::text(v, "m");
    const auto base = json::integer(v, "base");
    const json::Value* image_gb = json::list(v, "gb");
    if (!machines || !base || image_gb == nullptr || !record_fields::read_names(v, names_) ||
        !read_texts(v, "at", addresses_) || !read_texts(v, "texts", texts_)) {
      return false;
    }
    for (const auto& gb : image_gb->GetArray()) {
      if (!gb.IsNumber()) return false;
      image_gb_.push_back(gb.GetDouble());
    }
    base_ = *base;
    bytes_ = ByteReader(*machines);
    return true;
  }

  bool read_machines(std::vector<MachineRecord>& out) {
    for (const std::string& address : addresses_) {
      MachineRecord machine;
      machine.address = address;
      if (!read_machine(machine)) return false;
      out.push_back(std::move(machine));
    }
    return true;
  }

 private:
  bool read_machine(MachineRecord& out) {
    const std::uint64_t head = bytes_.number();
    const std::uint64_t state = head & kStateBits;
    if (state >= kMachineStates.size()) return false;
    out.state = static_cast<MachineState>(state);
    out.spot = (head & kIsSpot) != 0;
    const auto name = names_.name_of(bytes_.number());
    if (!name || !read_text(out.machine_type) || !read_text(out.zone)) return false;
    out.machine_id = MachineId(*name);
    out.since = from_unix_milliseconds(base_ + bytes_.signed_time());
    if ((head & kHasReclaim) != 0)
      out.reclaim_at = from_unix_milliseconds(base_ + bytes_.signed_time());
    if ((head & kHasFailedJob) != 0 && !read_text(out.failed_job)) return false;
    return read_images(out) && bytes_.ok();
  }
  bool read_images(MachineRecord& out) {
    const std::uint64_t count = bytes_.number();
    if (count > kMaxImages) return false;
    for (std::uint64_t i = 0; i < count; ++i) {
      ImageId image;
      if (!read_text(image)) return false;
      const std::uint64_t gb = bytes_.number();
      if (gb >= image_gb_.size()) return false;
      out.images.push_back({image, image_gb_[gb]});
    }
    return true;
  }
  template <typename Text>
  bool read_text(Text& out) {
    const std::uint64_t index = bytes_.number();
    if (!bytes_.ok() || index >= texts_.size()) return false;
    out = Text(texts_[index]);
    return true;
  }

  std::int64_t base_ = 0;
  ByteReader bytes_{""};
  MachineNames names_;
  std::vector<std::string> addresses_;
  std::vector<std::string> texts_;
  std::vector<double> image_gb_;
};

}  // namespace

const char* name_of(MachineState state) {
  return kMachineStates.at(static_cast<std::size_t>(state));
}

std::string encode(const MachinePage& page, const RecordSize& size) {
  std::string text = encode_plain(page, kMaxImages);
  for (std::size_t images = kMaxImages / 2; text.size() > size.max_bytes; --images) {
    text = size.compact_allowed ? encode_compact(page, {images, true}) : encode_plain(page, images);
    if (images == 0) break;
  }
  if (text.size() > size.max_bytes && size.compact_allowed) {
    // The failed job of a suspect machine can be left out, because the failed tasks in the job's
    // slices name the machine in `failed_on`.
    text = encode_compact(page, {0, false});
  }
  return text;
}

bool is_compact_page(const json::Value& v) { return json::count(v, "v") == kCompactPageFormat; }

bool decode(const json::Value& v, MachinePage& out) {
  if (is_compact_page(v)) {
    CompactPageReader reader;
    return reader.open(v) && reader.read_machines(out.machines);
  }
  const json::Value* machines = json::list(v, "m");
  if (json::count(v, "v") != kPageFormat || machines == nullptr) return false;
  for (const auto& item : machines->GetArray()) {
    MachineRecord machine;
    if (!read_machine(item, machine)) return false;
    out.machines.push_back(std::move(machine));
  }
  return true;
}

}  // namespace marblevale

// The codec of machine pages.
#include <algorithm>

#include "store/record_fields.hpp"
#include "store/records.hpp"

namespace marblevale {

using record_fields::read;

namespace {

constexpr std::uint64_t kPageFormat = 2;  // 1 was one record for each machine

constexpr std::array<const char*, 7> kMachineStates{
    "up", "silent", "suspect", "quarantined", "draining", "deleting", "gone"};

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

const char* name_of(MachineState state) {
  return kMachineStates.at(static_cast<std::size_t>(state));
}

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

}  // namespace marblevale

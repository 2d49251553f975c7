#include "app/memory_report.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace marblevale {

namespace {

constexpr Duration kSampleInterval{1'000};
constexpr Duration kReportInterval{30'000};
/// An increase by this share of the limit is reported at once.
constexpr double kNoticeableShare = 1.0 / 16;
constexpr std::uint64_t kKibPerMb = 1024;
constexpr std::uint64_t kBytesPerKib = 1024;
/// The limit to assume when the settings name none.
constexpr double kAssumedLimitMb = 64;

}  // namespace

std::optional<ProcessMemory> parse_statm(const std::string& line, std::uint64_t page_kib) {
  // The fields are the pages of the address space, the resident ones, and those of files.
  std::istringstream fields(line);
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  std::uint64_t shared = 0;
  if (!(fields >> size >> resident >> shared) || shared > resident) return std::nullopt;
  return ProcessMemory{resident * page_kib, (resident - shared) * page_kib};
}

std::optional<ProcessMemory> read_process_memory() {
  std::ifstream file("/proc/self/statm");
  std::string line;
  if (!std::getline(file, line)) return std::nullopt;
  const long page_bytes = ::sysconf(_SC_PAGESIZE);
  if (page_bytes <= 0) return std::nullopt;
  return parse_statm(line, static_cast<std::uint64_t>(page_bytes) / kBytesPerKib);
}

MemoryReport::MemoryReport(Loop& loop, const Clock& clock, double limit_mb, Reader reader)
    : clock_(clock),
      limit_mb_(limit_mb > 0 ? limit_mb : kAssumedLimitMb),
      reader_(std::move(reader)),
      timer_(loop, [this] { on_timer(); }) {}

void MemoryReport::track(std::string name, std::function<std::uint64_t()> read) {
  amounts_.push_back({std::move(name), std::move(read)});
}

void MemoryReport::begin() { timer_.start(kSampleInterval); }

void MemoryReport::on_timer() {
  timer_.start(kSampleInterval);
  sample("idle");
}

void MemoryReport::sample(const char* step) {
  const auto memory = reader_();
  if (!memory) return;
  highest_kib_ = std::max(highest_kib_, memory->own_kib);
  const auto noticeable_kib =
      static_cast<std::uint64_t>(limit_mb_ * kNoticeableShare * static_cast<double>(kKibPerMb));
  const bool has_grown = memory->own_kib > last_logged_kib_ + noticeable_kib;
  if (!has_grown && clock_.steady() - last_logged_ < kReportInterval) return;
  last_logged_kib_ = memory->own_kib;
  last_logged_ = clock_.steady();
  log(step, *memory);
}

void MemoryReport::log(const char* step, const ProcessMemory& memory) const {
  std::string amounts;
  for (const TrackedAmount& amount : amounts_) {
    amounts += " " + amount.name + "=" + std::to_string(amount.read());
  }
  spdlog::info("memory: held step={} own_kib={} resident_kib={} highest_own_kib={} limit_mb={}{}",
               step, memory.own_kib, memory.resident_kib, highest_kib_, limit_mb_, amounts);
}

}  // namespace marblevale

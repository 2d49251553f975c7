/// Reports the memory that the process holds beside what its parts hold, so that a run shows where
/// the memory is: in a leader, in the next leader and in any other controller.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "net/loop.hpp"

namespace marblevale {

/// Memory of a process, in KiB.
struct ProcessMemory {
  std::uint64_t resident_kib = 0;
  /// The part of `resident_kib` that is not backed by a file.
  std::uint64_t own_kib = 0;
};

/// The process's memory by /proc/self/statm. Nothing where that can't be read.
std::optional<ProcessMemory> read_process_memory();

/// Parses a line of /proc/self/statm, which counts pages of `page_kib` KiB.
std::optional<ProcessMemory> parse_statm(const std::string& line, std::uint64_t page_kib);

/// Logs a line `memory: held` every 30 s, and at once when the process holds noticeably more than
/// at the last line. Names the memory and each registered amount.
class MemoryReport {
 public:
  using Reader = std::function<std::optional<ProcessMemory>()>;

  /// `limit_mb`: the memory of the controller's machine; 0 if unknown.
  MemoryReport(Loop& loop, const Clock& clock, double limit_mb,
               Reader reader = &read_process_memory);

  /// Registers an amount that a part holds. `read` is called for each line.
  void track(std::string name, std::function<std::uint64_t()> read);
  void begin();
  /// Logs a line if one is due. `step` names the activity, for the log.
  void sample(const char* step);

 private:
  struct TrackedAmount {
    std::string name;
    std::function<std::uint64_t()> read;
  };
  void on_timer();
  void log(const char* step, const ProcessMemory& memory) const;

  const Clock& clock_;
  double limit_mb_;
  Reader reader_;
  std::vector<TrackedAmount> amounts_;
  std::uint64_t highest_kib_ = 0;
  std::uint64_t last_logged_kib_ = 0;
  SteadyTime last_logged_ = kLongAgo;
  Timer timer_;
};

}  // namespace marblevale

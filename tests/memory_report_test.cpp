// When the memory report logs, and what it reads.
#include "app/memory_report.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "support/fake_time.hpp"

namespace marblevale {
namespace {

using testing::FakeTime;

constexpr std::uint64_t kMib = 1024;

class MemoryReportTest : public ::testing::Test {
 protected:
  MemoryReportTest() : previous_(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(out_);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    report_.track("slices", [this] { return slices_; });
    report_.begin();
  }
  ~MemoryReportTest() override { spdlog::set_default_logger(previous_); }

  std::size_t lines() {
    const std::string text = out_.str();
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
  }

  std::shared_ptr<spdlog::logger> previous_;
  std::ostringstream out_;
  FakeTime time_;
  Loop loop_{&time_};
  std::optional<ProcessMemory> memory_ = ProcessMemory{3 * kMib, 2 * kMib};
  std::uint64_t slices_ = 7;
  MemoryReport report_{loop_, time_, 64, [this] { return memory_; }};
};

TEST_F(MemoryReportTest, NamesTheMemoryAndEachAmount) {
  time_.advance(Duration{1'000});
  EXPECT_NE(out_.str().find("memory: held step=idle own_kib=2048 resident_kib=3072"),
            std::string::npos);
  EXPECT_NE(out_.str().find("slices=7"), std::string::npos);
}

TEST_F(MemoryReportTest, ReportsAnIncreaseAtOnceAndElseAtIntervals) {
  time_.advance(Duration{1'000});
  ASSERT_EQ(lines(), 1U);
  time_.advance(Duration{5'000});
  EXPECT_EQ(lines(), 1U) << "nothing has changed";
  memory_->own_kib = 10 * kMib;
  report_.sample("released");
  EXPECT_EQ(lines(), 2U);
  EXPECT_NE(out_.str().find("step=released own_kib=10240"), std::string::npos);
  time_.advance(Duration{40'000});
  EXPECT_EQ(lines(), 3U);
}

TEST_F(MemoryReportTest, IsSilentWhereTheMemoryCannotBeRead) {
  memory_.reset();
  time_.advance(Duration{60'000});
  EXPECT_EQ(lines(), 0U);
}

TEST(Statm, CountsPagesThatNoFileBacks) {
  const auto memory = parse_statm("5000 300 120 10 0 90 0", 4);
  ASSERT_TRUE(memory);
  EXPECT_EQ(memory->resident_kib, 1200U);
  EXPECT_EQ(memory->own_kib, 720U);
  EXPECT_FALSE(parse_statm("", 4));
  EXPECT_FALSE(parse_statm("5000 100 200", 4));
}

}  // namespace
}  // namespace marblevale

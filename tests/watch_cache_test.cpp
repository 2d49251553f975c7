// Loads of the watch cache that read the records page by page while reads fail.
#include "store/watch_cache.hpp"

#include "support/fake_time.hpp"
#include "support/helpers.hpp"
#include "support/stored_records.hpp"

namespace marblevale {
namespace {

TEST(WatchCacheLoad, OnlyTheFailedPageIsReadAgain) {
  testing::FakeTime time;
  Loop loop(&time);
  testing::ScriptedStore store;
  store.page_size = 10;
  for (int i = 0; i < 35; ++i) {
    testing::put_job(store, testing::gang("req-" + std::to_string(100 + i), 1, 1, 100), WallTime{});
  }
  WatchCache cache(loop, time, store, 1);
  store.hold_answers = true;
  cache.begin();
  store.hold_answers = false;
  store.failing_ranges = 1;
  store.deliver_held_answers();
  time.advance(Duration{3000});
  EXPECT_TRUE(cache.ready());
  EXPECT_EQ(cache.records().jobs.size(), 35U);
  EXPECT_EQ(store.range_requests.size(), 5U) << "four pages, one of them twice";
}

}  // namespace
}  // namespace marblevale

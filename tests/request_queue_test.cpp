// The bounds of the requests that wait for the state service.
#include "store/request_queue.hpp"

#include <gtest/gtest.h>

#include "support/fake_time.hpp"

namespace marblevale {
namespace {

constexpr std::size_t kRequestBytes = std::size_t{60} * 1024;
/// The least memory of a controller in any deployment is 56 MB.
constexpr std::size_t kControllerBytes = std::size_t{56} * 1'000'000;

class RequestQueueTest : public ::testing::Test {
 protected:
  /// Enqueues a commit that needs more writes than the budget has, so that it waits.
  void enqueue(RequestPriority priority, std::size_t bytes) {
    HttpCall call;
    call.body.assign(bytes, 'x');
    queue_.enqueue(priority, std::move(call), 1000, [this](const HttpReply& reply) {
      if (reply.outcome == HttpOutcome::never_sent) ++refused_;
    });
  }

  testing::FakeTime time_;
  Loop loop_{&time_};
  StoreLimits limits_{250, 100, 16'384, 24, 3, {}};
  HttpClient http_{loop_, {"127.0.0.1", 1}, 1, 1};
  RequestBudget budget_{limits_};
  RequestQueue queue_{loop_, time_, http_, budget_};
  int refused_ = 0;
};

// 400 requests of each priority, each of up to 64 KiB, would exceed the memory several times.
TEST_F(RequestQueueTest, BoundsTheBytesThatWait) {
  for (int i = 0; i < 300; ++i) {
    enqueue(RequestPriority::binding, kRequestBytes);
    enqueue(RequestPriority::leader_commit, kRequestBytes);
  }
  EXPECT_GT(refused_, 0);
  EXPECT_LE(queue_.waiting_bytes(), kControllerBytes / 7);
  EXPECT_EQ(queue_.waiting_bytes(), queue_.waiting_requests() * kRequestBytes);
}

TEST_F(RequestQueueTest, ReadsWaitBesideAFullQueue) {
  for (int i = 0; i < 300; ++i) enqueue(RequestPriority::binding, kRequestBytes);
  const int refused = refused_;
  enqueue(RequestPriority::binding, 0);
  EXPECT_EQ(refused_, refused);
}

TEST_F(RequestQueueTest, ExpiredRequestsFreeTheirBytes) {
  for (int i = 0; i < 10; ++i) enqueue(RequestPriority::binding, kRequestBytes);
  const std::size_t waiting = queue_.waiting_requests();
  ASSERT_GT(waiting, 0U);
  time_.advance(Duration{60'000});
  EXPECT_EQ(queue_.waiting_bytes(), 0U);
  EXPECT_EQ(queue_.waiting_requests(), 0U);
  EXPECT_EQ(static_cast<std::size_t>(refused_), waiting);
}

}  // namespace
}  // namespace marblevale

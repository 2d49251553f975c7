// Copies of offers are told from new ones within bounded memory.
#include "blocks/answered_offers.hpp"

#include <gtest/gtest.h>

namespace marblevale {
namespace {

TEST(AnsweredOffers, EachSerialOfATermIsNewOnce) {
  AnsweredOffers answered;
  EXPECT_TRUE(answered.insert(5, 2));
  EXPECT_TRUE(answered.insert(5, 1)) << "two connections need not keep the order";
  EXPECT_FALSE(answered.insert(5, 2));
  EXPECT_FALSE(answered.insert(5, 1));
}

TEST(AnsweredOffers, WhatIsOfAnEarlierTermIsACopy) {
  AnsweredOffers answered;
  EXPECT_TRUE(answered.insert(5, 9));
  EXPECT_TRUE(answered.insert(6, 1)) << "another leader counts anew";
  EXPECT_FALSE(answered.insert(5, 10));
}

TEST(AnsweredOffers, WhatIsForgottenCountsAsAnswered) {
  AnsweredOffers answered;
  const auto most = static_cast<std::uint64_t>(AnsweredOffers::kMaxRemembered);
  for (std::uint64_t serial = 1; serial <= most + 10; ++serial) {
    ASSERT_TRUE(answered.insert(5, serial * 2));
  }
  EXPECT_FALSE(answered.insert(5, 2)) << "forgotten";
  EXPECT_FALSE(answered.insert(5, 3)) << "it may have been answered";
  EXPECT_TRUE(answered.insert(5, most * 2 + 1));
}

}  // namespace
}  // namespace marblevale

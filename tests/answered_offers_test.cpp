// Duplicates of offers are distinguished from new offers, in bounded memory.
#include "shards/answered_offers.hpp"

#include <gtest/gtest.h>

namespace marblevale {
namespace {

using Answer = OfferAnswer;

TEST(AnsweredOffers, ADuplicateGetsTheFirstAnswer) {
  AnsweredOffers answered_offers;
  EXPECT_EQ(answered_offers.find(5, 2), std::nullopt);
  answered_offers.remember(5, 2, Answer::declined);
  answered_offers.remember(5, 4, Answer::accepted);
  EXPECT_EQ(answered_offers.find(5, 2), Answer::declined);
  EXPECT_EQ(answered_offers.find(5, 4), Answer::accepted);
  EXPECT_EQ(answered_offers.find(5, 1), std::nullopt) << "two connections need not keep the order";
}

TEST(AnsweredOffers, ANewTermStartsWithoutAnswers) {
  AnsweredOffers answered_offers;
  answered_offers.remember(5, 9, Answer::declined);
  EXPECT_EQ(answered_offers.find(6, 9), std::nullopt);
  answered_offers.remember(6, 1, Answer::accepted);
  EXPECT_EQ(answered_offers.find(5, 10), Answer::accepted)
      << "it is not known, so it may have been";
  answered_offers.remember(5, 11, Answer::declined);
  EXPECT_EQ(answered_offers.find(6, 11), std::nullopt);
}

TEST(AnsweredOffers, AForgottenOfferCountsAsAccepted) {
  AnsweredOffers answered_offers;
  const auto max_remembered = static_cast<std::uint64_t>(AnsweredOffers::kMaxRemembered);
  for (std::uint64_t sequence = 1; sequence <= max_remembered + 10; ++sequence) {
    answered_offers.remember(5, sequence * 2, Answer::declined);
  }
  EXPECT_EQ(answered_offers.find(5, 2), Answer::accepted) << "forgotten";
  EXPECT_EQ(answered_offers.find(5, 3), Answer::accepted) << "it may have been answered";
  EXPECT_EQ(answered_offers.find(5, max_remembered * 2), Answer::declined);
  EXPECT_EQ(answered_offers.find(5, max_remembered * 2 + 1), std::nullopt);
}

}  // namespace
}  // namespace marblevale

#include "api/open_requests.hpp"

#include <utility>

namespace marblevale {

namespace {

/// Passes on the first answer; the deadline's timer gives one when nobody else has.
class FirstAnswer {
 public:
  FirstAnswer(Loop& loop, Duration deadline, AnswerHandler handler)
      : handler_(std::move(handler)), timer_(loop, [this] { give(store_unavailable_answer()); }) {
    timer_.start(deadline);
  }

  void give(const UserAnswer& answer) {
    if (!handler_) return;
    timer_.stop();
    std::exchange(handler_, nullptr)(answer);
  }

 private:
  AnswerHandler handler_;
  Timer timer_;
};

/// Counts as one open query for as long as it exists.
class OpenQuerySlot {
 public:
  explicit OpenQuerySlot(std::shared_ptr<std::size_t> open) : open_(std::move(open)) { ++*open_; }
  ~OpenQuerySlot() { --*open_; }
  OpenQuerySlot(const OpenQuerySlot&) = delete;
  OpenQuerySlot& operator=(const OpenQuerySlot&) = delete;
  OpenQuerySlot(OpenQuerySlot&&) = delete;
  OpenQuerySlot& operator=(OpenQuerySlot&&) = delete;

 private:
  std::shared_ptr<std::size_t> open_;
};

}  // namespace

AnswerHandler with_deadline(Loop& loop, Duration deadline, AnswerHandler handler) {
  return [first = std::make_shared<FirstAnswer>(loop, deadline, std::move(handler))](
             const UserAnswer& answer) { first->give(answer); };
}

AnswerHandler OpenQueryLimit::track(AnswerHandler handler) const {
  return [slot = std::make_shared<OpenQuerySlot>(open_),
          handler = std::move(handler)](const UserAnswer& answer) { handler(answer); };
}

}  // namespace marblevale

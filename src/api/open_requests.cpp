#include "api/open_requests.hpp"

#include <utility>

namespace marblevale {

namespace {

/// Delivers only the first answer. If none has come by the deadline, a timer delivers one.
class FirstAnswerHandler {
 public:
  FirstAnswerHandler(Loop& loop, Duration deadline, AnswerHandler handler)
      : handler_(std::move(handler)),
        timer_(loop, [this] { deliver(store_unavailable_answer()); }) {
    timer_.start(deadline);
  }

  void deliver(const UserAnswer& answer) {
    if (!handler_) return;
    timer_.stop();
    std::exchange(handler_, nullptr)(answer);
  }

 private:
  AnswerHandler handler_;
  Timer timer_;
};

/// Counts as one open query during its lifetime.
class OpenQuerySlot {
 public:
  explicit OpenQuerySlot(std::shared_ptr<std::size_t> open_count)
      : open_count_(std::move(open_count)) {
    ++*open_count_;
  }
  ~OpenQuerySlot() { --*open_count_; }
  OpenQuerySlot(const OpenQuerySlot&) = delete;
  OpenQuerySlot& operator=(const OpenQuerySlot&) = delete;
  OpenQuerySlot(OpenQuerySlot&&) = delete;
  OpenQuerySlot& operator=(OpenQuerySlot&&) = delete;

 private:
  std::shared_ptr<std::size_t> open_count_;
};

}  // namespace

AnswerHandler with_deadline(Loop& loop, Duration deadline, AnswerHandler handler) {
  return [first_answer = std::make_shared<FirstAnswerHandler>(loop, deadline, std::move(handler))](
             const UserAnswer& answer) { first_answer->deliver(answer); };
}

AnswerHandler OpenQueryLimit::track(AnswerHandler handler) const {
  return [slot = std::make_shared<OpenQuerySlot>(open_count_),
          handler = std::move(handler)](const UserAnswer& answer) { handler(answer); };
}

}  // namespace marblevale

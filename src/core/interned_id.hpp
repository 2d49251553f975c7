// Ids whose text is stored once, however many records name it. The records name each machine and
// zone once for every task, so that copies of the text would be most of the memory that the records
// of a large job take.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace marblevale {

/// A reference to a shared text. Equal texts are one object, which is freed with its last
/// reference. Not thread-safe, because the controller runs on one thread.
class InternedText {
 public:
  /// The empty text.
  InternedText() noexcept = default;
  explicit InternedText(std::string_view text);
  InternedText(const InternedText& other) noexcept : entry_(other.entry_) { add_reference(); }
  InternedText(InternedText&& other) noexcept : entry_(std::exchange(other.entry_, nullptr)) {}
  InternedText& operator=(InternedText other) noexcept {
    std::swap(entry_, other.entry_);
    return *this;
  }
  ~InternedText() { remove_reference(); }

  [[nodiscard]] const std::string& str() const;
  /// The hash of the text.
  [[nodiscard]] std::size_t hash() const;
  friend bool operator==(const InternedText& a, const InternedText& b) {
    return a.entry_ == b.entry_;
  }
  friend std::strong_ordering operator<=>(const InternedText& a, const InternedText& b) {
    if (a.entry_ == b.entry_) return std::strong_ordering::equal;
    return a.str().compare(b.str()) <=> 0;
  }
  /// The number of texts that are stored now.
  [[nodiscard]] static std::size_t stored_texts();

 private:
  struct Entry;
  struct Pool;
  static Pool& pool();
  void add_reference() noexcept;
  void remove_reference() noexcept;

  Entry* entry_ = nullptr;  // null: the empty text
};

/// An id with a shared text. It compares only with ids of the same `Tag`.
template <typename Tag>
class InternedId {
 public:
  InternedId() = default;
  explicit InternedId(std::string_view text) : text_(text) {}
  [[nodiscard]] const std::string& get() const { return text_.str(); }
  [[nodiscard]] std::size_t hash() const { return text_.hash(); }
  auto operator<=>(const InternedId&) const = default;

 private:
  InternedText text_;
};

}  // namespace marblevale

template <typename Tag>
struct std::hash<marblevale::InternedId<Tag>> {
  std::size_t operator()(const marblevale::InternedId<Tag>& id) const noexcept { return id.hash(); }
};

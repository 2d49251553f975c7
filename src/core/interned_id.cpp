#include "core/interned_id.hpp"

#include <memory>
#include <unordered_map>

namespace marblevale {

struct InternedText::Entry {
  std::string text;
  std::size_t hash = 0;
  std::size_t references = 0;
};

struct InternedText::Pool {
  std::unordered_map<std::string_view, std::unique_ptr<Entry>> entries;
};

InternedText::Pool& InternedText::pool() {
  // Never destroyed, because ids may be destroyed later than any static object.
  static auto* pool = new Pool;
  return *pool;
}

InternedText::InternedText(std::string_view text) {
  if (text.empty()) return;
  auto& entries = pool().entries;
  const auto known = entries.find(text);
  if (known != entries.end()) {
    entry_ = known->second.get();
  } else {
    auto entry =
        std::make_unique<Entry>(Entry{std::string(text), std::hash<std::string_view>{}(text), 0});
    entry_ = entry.get();
    entries.emplace(entry->text, std::move(entry));
  }
  add_reference();
}

const std::string& InternedText::str() const {
  static const auto* empty = new std::string;
  return entry_ == nullptr ? *empty : entry_->text;
}

std::size_t InternedText::hash() const {
  return entry_ == nullptr ? std::hash<std::string_view>{}({}) : entry_->hash;
}

std::size_t InternedText::stored_texts() { return pool().entries.size(); }

void InternedText::add_reference() noexcept {
  if (entry_ != nullptr) ++entry_->references;
}

void InternedText::remove_reference() noexcept {
  if (entry_ == nullptr || --entry_->references > 0) return;
  auto& entries = pool().entries;
  entries.erase(entries.find(entry_->text));
}

}  // namespace marblevale

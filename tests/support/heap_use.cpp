#include "support/heap_use.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace {

// The controller and its tests run on one thread.
std::size_t held = 0;
std::size_t highest = 0;

void* allocate_or_null(std::size_t bytes) noexcept {
  void* memory = std::malloc(bytes == 0 ? 1 : bytes);
  if (memory == nullptr) return nullptr;
  held += ::malloc_usable_size(memory);
  highest = std::max(highest, held);
  return memory;
}

void* allocate(std::size_t bytes) {
  void* memory = allocate_or_null(bytes);
  if (memory == nullptr) throw std::bad_alloc{};
  return memory;
}

void release(void* memory) noexcept {
  if (memory == nullptr) return;
  held -= ::malloc_usable_size(memory);
  std::free(memory);
}

}  // namespace

void* operator new(std::size_t bytes) { return allocate(bytes); }
void* operator new[](std::size_t bytes) { return allocate(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept {
  return allocate_or_null(bytes);
}
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept {
  return allocate_or_null(bytes);
}
void operator delete(void* memory) noexcept { release(memory); }
void operator delete[](void* memory) noexcept { release(memory); }
void operator delete(void* memory, std::size_t) noexcept { release(memory); }
void operator delete[](void* memory, std::size_t) noexcept { release(memory); }

namespace marblevale::testing {

HeapPeak::HeapPeak() : begin_(held) { highest = held; }

std::size_t HeapPeak::bytes() const { return highest - begin_; }

}  // namespace marblevale::testing

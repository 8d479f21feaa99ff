// Replaces the global allocation functions to count the heap bytes in use.
#include <malloc.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

#include "measure.hpp"

namespace {

std::atomic<std::int64_t> bytesInUse{0};

void* allocate(std::size_t size) {
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (!memory) throw std::bad_alloc();
  bytesInUse += static_cast<std::int64_t>(malloc_usable_size(memory));
  return memory;
}

void release(void* memory) noexcept {
  if (!memory) return;
  bytesInUse -= static_cast<std::int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  try {
    return allocate(size);
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
}
void* operator new[](std::size_t size, const std::nothrow_t& tag) noexcept { return operator new(size, tag); }
void operator delete(void* memory) noexcept { release(memory); }
void operator delete[](void* memory) noexcept { release(memory); }
void operator delete(void* memory, const std::nothrow_t&) noexcept { release(memory); }
void operator delete[](void* memory, const std::nothrow_t&) noexcept { release(memory); }
void operator delete(void* memory, std::size_t) noexcept { release(memory); }
void operator delete[](void* memory, std::size_t) noexcept { release(memory); }

std::int64_t finchstile::bench::allocatedBytes() { return bytesInUse; }

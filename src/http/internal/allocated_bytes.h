#pragma once

#include <cstddef>
#include <string>

namespace teaseljunction {

/// Returns the memory of a text in bytes; 0 while the text is stored within the string object.
inline size_t AllocatedBytes(const std::string& text) {
  static const size_t inline_capacity = std::string().capacity();
  return text.capacity() <= inline_capacity ? 0 : text.capacity();
}

}  // namespace teaseljunction

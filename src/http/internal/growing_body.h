#pragma once

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "http/internal/allocated_bytes.h"

namespace teaseljunction {

/// The body of a request while it arrives. Its memory grows with what has arrived: nothing is
/// reserved for an announced length, because a client can announce much and send nothing.
class body_buffer {
 public:
  void SetLength(size_t length) { length_ = length; }

  /// Returns the memory that the buffer takes when `bytes` more have arrived: twice as much as
  /// before for a body with a known length, at most that length, and half as much more for others,
  /// whose last growth may be in vain.
  size_t CapacityFor(size_t bytes) const {
    const size_t needed = text_.size() + bytes;
    if (needed <= text_.capacity()) return Capacity();
    if (!length_) return std::max(needed, text_.capacity() + text_.capacity() / 2);
    return std::max(needed, std::min(*length_, 2 * text_.capacity()));
  }

  void Append(const char* data, size_t bytes) {
    if (text_.size() + bytes > text_.capacity()) {
      // `reserve` of an existing string would at least double its memory.
      std::string grown;
      grown.reserve(CapacityFor(bytes));
      grown.append(text_);
      text_.swap(grown);
    }
    text_.append(data, bytes);
  }

  /// Memory taken, in bytes; 0 while the text is within the string object.
  size_t Capacity() const { return AllocatedBytes(text_); }

  const boost::optional<size_t>& Length() const { return length_; }

  std::string Take() { return std::move(text_); }

 private:
  boost::optional<size_t> length_;
  std::string text_;
};

/// Body type for the parser of Boost.Beast that stores the body in a `body_buffer`.
struct growing_body {
  using value_type = body_buffer;

  class reader {
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>&, body_buffer& body) : body_(body) {}

    void init(const boost::optional<uint64_t>& length, boost::beast::error_code& failure) {
      if (length) body_.SetLength(*length);
      failure = {};
    }

    template <class ConstBufferSequence>
    size_t put(const ConstBufferSequence& buffers, boost::beast::error_code& failure) {
      size_t total = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.Append(static_cast<const char*>(buffer.data()), buffer.size());
        total += buffer.size();
      }
      failure = {};
      return total;
    }

    void finish(boost::beast::error_code& failure) { failure = {}; }

   private:
    body_buffer& body_;
  };
};

}  // namespace teaseljunction

#include "http/internal/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "http/internal/headers.h"

namespace teaseljunction {
namespace {

namespace beast_http = boost::beast::http;

/// The line ends and separators of a head count only for the parser.
constexpr size_t kParserHeadBytesPerHeaderByte = 2;
constexpr size_t kMaxEmptyLines = 16;
constexpr absl::string_view kLineEnd = "\r\n";

absl::string_view ToView(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Returns true if the request line is complete except that its version is not supported.
bool HasUnsupportedVersion(absl::string_view request_line) {
  const std::vector<absl::string_view> parts = absl::StrSplit(request_line, ' ');
  return parts.size() == 3 && absl::StartsWith(parts[2], "HTTP/");
}

}  // namespace

request_reader::request_reader(size_t max_header_bytes, size_t max_body_bytes)
    : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {}

size_t request_reader::SkipEmptyLines(absl::string_view data) {
  size_t used = 0;
  while (absl::StartsWith(data.substr(used), kLineEnd)) {
    used += kLineEnd.size();
    if (++empty_lines_ <= kMaxEmptyLines) continue;
    Refuse(error_kind::kMalformedRequest, "there is no request line");
    break;
  }
  return used;
}

size_t request_reader::Read(absl::string_view data) {
  if (refusal_ || complete_) return 0;
  size_t used = 0;
  if (!parser_) {
    used = SkipEmptyLines(data);
    // A single carriage return can be the first half of an empty line.
    if (refusal_ || used == data.size() || data.substr(used) == "\r") return used;
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(max_header_bytes_ * kParserHeadBytesPerHeaderByte));
    parser_->body_limit(max_body_bytes_);
    head_checked_ = false;
  }
  while (used < data.size()) {
    boost::beast::error_code failure;
    const absl::string_view rest = data.substr(used);
    used += parser_->put(boost::asio::const_buffer(rest.data(), rest.size()), failure);
    if (failure == beast_http::error::need_more) break;
    if (failure) {
      RefuseUnparsable(failure, rest.substr(0, rest.find(kLineEnd)));
      break;
    }
    if (parser_->is_header_done() && !std::exchange(head_checked_, true)) CheckHead();
    if (refusal_) break;
    if (parser_->is_done()) {
      Complete();
      break;
    }
  }
  // The part of the body that has arrived is not needed any more.
  if (refusal_) parser_.reset();
  return used;
}

size_t request_reader::BodyBytes() const { return parser_ ? parser_->get().body().Capacity() : 0; }

size_t request_reader::NeededBodyBytes(size_t bytes) const {
  if (!parser_ || !parser_->is_header_done()) return 0;
  const body_buffer& body = parser_->get().body();
  return body.Length() ? std::max(*body.Length(), body.Capacity()) : body.CapacityFor(bytes);
}

void request_reader::GiveUp(error reason) {
  refusal_ = std::move(reason);
  parser_.reset();
}

void request_reader::RefuseUnparsable(boost::beast::error_code failure,
                                      absl::string_view request_line) {
  if (failure == beast_http::error::header_limit) return Refuse(error_kind::kHeadersTooLarge, "");
  if (failure == beast_http::error::body_limit) return Refuse(error_kind::kBodyTooLarge, "");
  if (failure == beast_http::error::bad_version && HasUnsupportedVersion(request_line)) {
    return Refuse(error_kind::kVersionUnsupported, "");
  }
  Refuse(error_kind::kMalformedRequest, failure.message());
}

void request_reader::Refuse(error_kind kind, absl::string_view detail) {
  refusal_ = error{kind, std::string(detail)};
}

void request_reader::CheckHead() {
  const auto& head = parser_->get();
  const absl::string_view target = ToView(head.target());
  size_t bytes = target.size() + head.method_string().size();
  int lengths = 0;
  int hosts = 0;
  bool encoded = false;
  for (const auto& field : head) {
    bytes += field.name_string().size() + field.value().size();
    if (field.name() == beast_http::field::content_length) ++lengths;
    if (field.name() == beast_http::field::host) ++hosts;
    if (field.name() == beast_http::field::transfer_encoding) {
      encoded = true;
      if (!absl::EqualsIgnoreCase(ToView(field.value()), "chunked")) {
        return Refuse(error_kind::kMalformedRequest, "the transfer encoding is not supported");
      }
    }
  }
  if (bytes > max_header_bytes_) return Refuse(error_kind::kHeadersTooLarge, "");
  if (target.empty() || target[0] != '/' || !IsHeaderText(target)) {
    return Refuse(error_kind::kMalformedRequest, "the request target is not a path");
  }
  // The next hop may interpret a body with two lengths, or a second host, differently (request
  // smuggling).
  if (lengths > 1 || (lengths == 1 && encoded)) {
    return Refuse(error_kind::kMalformedRequest, "the length of the body is ambiguous");
  }
  if (hosts > 1 || (hosts == 0 && head.version() >= 11)) {
    return Refuse(error_kind::kMalformedRequest, "the request needs one Host header");
  }
  awaits_continue_ =
      !parser_->is_done() && head.version() >= 11 &&
      absl::EqualsIgnoreCase(ToView(head[beast_http::field::expect]), "100-continue");
}

bool request_reader::TakeContinueRequest() { return std::exchange(awaits_continue_, false); }

void request_reader::Complete() {
  received_request& request = complete_.emplace();
  request.keep_alive = parser_->keep_alive();
  auto parsed = parser_->release();
  http_request& message = request.message;
  message.method = std::string(ToView(parsed.method_string()));
  message.path = std::string(ToView(parsed.target()));
  for (const auto& field : parsed) {
    message.headers.push_back(
        {std::string(ToView(field.name_string())), std::string(ToView(field.value()))});
  }
  message.body = parsed.body().Take();
  request.head = message.method == "HEAD";
  parser_.reset();
  awaits_continue_ = false;
  empty_lines_ = 0;
}

absl::optional<received_request> request_reader::TakeRequest() {
  return std::exchange(complete_, absl::nullopt);
}

}  // namespace teaseljunction

#include "http/internal/response_text.h"

#include <boost/beast/http/status.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "http/internal/headers.h"

namespace teaseljunction {
namespace {

constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;
constexpr absl::string_view kDateFormat = "%a, %d %b %E4Y %H:%M:%S GMT";

/// Returns the current time as the value of a Date header. Formatted once a second.
const std::string& DateText(absl::Time now) {
  thread_local int64_t formatted_second = -1;
  thread_local std::string text;
  const int64_t second = absl::ToUnixSeconds(now);
  if (second != formatted_second) {
    formatted_second = second;
    text = absl::FormatTime(kDateFormat, now, absl::UTCTimeZone());
  }
  return text;
}

/// Returns the length that the body of a response to a HEAD request would have.
uint64_t LengthOf(const http_response& response, bool head_request) {
  uint64_t length = 0;
  if (head_request) {
    const auto header = FindHeader(response.headers, "Content-Length");
    if (header && absl::SimpleAtoi(*header, &length)) return length;
  }
  return response.body.size();
}

}  // namespace

bool HasBody(int status) { return status != kNoContentStatus && status != kNotModifiedStatus; }

std::string ResponseHead(const http_response& response, bool head_request, bool close,
                         absl::Time now) {
  const auto reason =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
  std::string head = absl::StrCat("HTTP/1.1 ", response.status, " ",
                                  absl::string_view(reason.data(), reason.size()),
                                  "\r\nDate: ", DateText(now), "\r\n");
  if (HasBody(response.status)) {
    absl::StrAppend(&head, "Content-Length: ", LengthOf(response, head_request), "\r\n");
  }
  if (close) absl::StrAppend(&head, "Connection: close\r\n");
  for (const http_header& header : response.headers) {
    // Control characters in a value could add lines to the response.
    if (IsTransferHeader(header.name) || !IsHeaderText(header.value)) continue;
    absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  return head;
}

}  // namespace teaseljunction

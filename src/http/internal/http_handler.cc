#include "http/http_handler.h"

namespace teaseljunction {

bool http_handler::MayOverlap(const http_request& request) const {
  return request.method == "GET" || request.method == "HEAD";
}

}  // namespace teaseljunction

#include "cli/internal/flags.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"

ABSL_FLAG(std::vector<std::string>, servers, {},
          "operators' addresses of daemons (IP:port, comma separated), tried in turn");
ABSL_FLAG(std::vector<std::string>, entry, {},
          "HTTP entry points of daemons (IP:port, comma separated); the next one is tried only "
          "when nothing was sent");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "time to wait for each server");
ABSL_FLAG(bool, json, false, "print JSON instead of text");
ABSL_FLAG(std::string, key, "",
          "key of the client account; other users of the host can see it, so prefer --key_file");
ABSL_FLAG(std::string, key_file, "", "file with the key of the client account");
ABSL_FLAG(std::string, body, "", "body of the request; \"@FILE\" reads it from a file");
ABSL_FLAG(std::string, idempotency_key, "", "value of the Idempotency-Key header");

namespace teaseljunction {
namespace {

// Time between two rounds of attempts over all servers.
constexpr absl::Duration kRetryRoundPause = absl::Milliseconds(700);

}  // namespace

result<absl::Duration> TimeoutFromFlags() {
  const absl::Duration timeout = absl::GetFlag(FLAGS_timeout);
  if (timeout < absl::Milliseconds(1) || timeout > absl::Hours(1)) {
    return Fail(error_kind::kSettingInvalid, "--timeout must be in 1ms to 1h");
  }
  return timeout;
}

result<operators_client> ClientFromFlags(const command_context& context) {
  const std::vector<std::string> servers = absl::GetFlag(FLAGS_servers);
  if (servers.empty()) {
    return Fail(error_kind::kSettingInvalid, "--servers is missing; expected IP:port[,IP:port...]");
  }
  BOOST_LEAF_AUTO(timeout, TimeoutFromFlags());
  return operators_client(context.transport, servers, timeout, kRetryRoundPause);
}

exit_code ReportFailure(const command_context& context, const operators_result& failed) {
  context.err << failed.message << "\n";
  if (failed.code == exit_code::kOutcomeUnknown) {
    context.err << "The outcome is unknown: the request may have been carried out.\n";
  }
  if (failed.code == exit_code::kUnreachable) context.err << "No server could be reached.\n";
  return failed.code;
}

exit_code ReportUsageError(const command_context& context, const error& failure) {
  context.err << failure.detail << "\n";
  return exit_code::kUsage;
}

result<std::string> ReadFile(const std::string& path) {
  if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream file(path, std::ios::binary);
  std::string content(std::istreambuf_iterator<char>(file), {});
  if (!file.is_open() || file.bad()) {
    return Fail(error_kind::kSettingInvalid, absl::StrCat(path, " cannot be read"));
  }
  return content;
}

}  // namespace teaseljunction

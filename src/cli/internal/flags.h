#pragma once

#include <string>
#include <vector>

#include "absl/flags/declare.h"
#include "absl/time/time.h"
#include "cli/command_line.h"
#include "cli/operators_client.h"
#include "common/result.h"

ABSL_DECLARE_FLAG(std::vector<std::string>, servers);
ABSL_DECLARE_FLAG(std::vector<std::string>, entry);
ABSL_DECLARE_FLAG(absl::Duration, timeout);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(std::string, key);
ABSL_DECLARE_FLAG(std::string, key_file);
ABSL_DECLARE_FLAG(std::string, body);
ABSL_DECLARE_FLAG(std::string, idempotency_key);

namespace teaseljunction {

/// Returns the value of --timeout, 1 ms to 1 h. Errors: kSettingInvalid.
result<absl::Duration> TimeoutFromFlags();

/// Returns a client for the servers in --servers. Errors: kSettingInvalid.
result<operators_client> ClientFromFlags(const command_context& context);

/// Prints the messages of a failed request and returns its exit code.
exit_code ReportFailure(const command_context& context, const operators_result& failed);

/// Prints an error in the command line or in a file and returns kUsage.
exit_code ReportUsageError(const command_context& context, const error& failure);

/// Returns the content of a file, or of the standard input for "-". Errors: kSettingInvalid.
result<std::string> ReadFile(const std::string& path);

}  // namespace teaseljunction

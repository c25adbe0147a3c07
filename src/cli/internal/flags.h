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

/// Returns the time of --timeout. Errors: kSettingInvalid.
result<absl::Duration> TimeoutFromFlags();

/// Returns a client for the operators' ports of --servers. Errors: kSettingInvalid.
result<operators_client> ClientFromFlags(const command_context& context);

/// Prints the message of a failed request and returns its exit code.
exit_code ReportFailure(const command_context& context, const operators_answer& answer);

/// Prints an error of the command line or of a file, and returns kUsage.
exit_code ReportUsage(const command_context& context, const error& failure);

/// Returns the content of a file, or of the standard input for "-". Errors: kSettingInvalid.
result<std::string> ReadFile(const std::string& path);

}  // namespace teaseljunction

#include "common/log.h"

#include <unistd.h>

#include <memory>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "common/log_writer.h"

namespace teaseljunction {
namespace {

constexpr absl::Duration kFlushTimeout = absl::Milliseconds(250);
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%E3S";

// The pointer is never destroyed, because threads may log until the process exits.
std::unique_ptr<log_writer>& Writer() {
  static auto* writer = new std::unique_ptr<log_writer>();
  return *writer;
}

/// Forwards log messages of easylogging++ to the writer.
class log_writer_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {  // NOLINT(readability-identifier-naming)
    const el::LogMessage& message = *data->logMessage();
    if (data->dispatchAction() != el::base::DispatchAction::NormalLog) return;
    WriteLogLine(
        absl::StrCat(el::LevelHelper::convertToString(message.level()), " ", message.message()));
  }
};

void InstallWriter() {
  if (Writer() == nullptr) Writer() = std::make_unique<log_writer>(STDOUT_FILENO);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<log_writer_callback>("teaseljunction");
}

}  // namespace

bool ConfigureLog(const log_settings& settings) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            settings.file.empty() ? "false" : "true");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  if (!settings.file.empty()) {
    configuration.setGlobally(el::ConfigurationType::Filename, settings.file);
  }
  const absl::string_view level = settings.level;
  if (level != "debug" && level != "info" && level != "warning" && level != "error") return false;
  const bool info = level == "debug" || level == "info";
  configuration.set(el::Level::Debug, el::ConfigurationType::Enabled,
                    level == "debug" ? "true" : "false");
  configuration.set(el::Level::Info, el::ConfigurationType::Enabled, info ? "true" : "false");
  configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                    level == "error" ? "false" : "true");
  el::Loggers::reconfigureAllLoggers(configuration);
  if (settings.file.empty()) InstallWriter();
  return true;
}

void FlushLog() {
  if (Writer() != nullptr) Writer()->Flush(kFlushTimeout);
}

void WriteLogLine(absl::string_view line) {
  if (Writer() == nullptr) {
    // The log goes to a file or has not been configured.
    LOG(INFO) << line;
    return;
  }
  Writer()->Write(
      absl::StrCat(absl::FormatTime(kTimeFormat, absl::Now(), absl::UTCTimeZone()), " ", line));
}

}  // namespace teaseljunction

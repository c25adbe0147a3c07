#include "common/log.h"

namespace teaseljunction {

bool ConfigureLog(const log_settings& settings) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            settings.file.empty() ? "false" : "true");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            settings.file.empty() ? "true" : "false");
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
  return true;
}

}  // namespace teaseljunction

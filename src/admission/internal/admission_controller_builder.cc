#include "admission/admission_controller.h"

namespace teaseljunction {

admission_controller_builder& admission_controller_builder::SetMaxQueueCalls(size_t calls) {
  settings_.max_queue_calls = calls;
  return *this;
}

admission_controller_builder& admission_controller_builder::SetMaxQueueBytes(size_t bytes) {
  settings_.max_queue_bytes = bytes;
  return *this;
}

admission_controller_builder& admission_controller_builder::SetQueueDelayTarget(
    absl::Duration target) {
  settings_.queue_delay_target = target;
  return *this;
}

admission_controller_builder& admission_controller_builder::SetQueueInterval(
    absl::Duration interval) {
  settings_.queue_interval = interval;
  return *this;
}

admission_controller_builder& admission_controller_builder::SetFixedLimit(bool fixed) {
  settings_.fixed_limit = fixed;
  return *this;
}

admission_controller admission_controller_builder::Build() const {
  return admission_controller(settings_);
}

}  // namespace teaseljunction

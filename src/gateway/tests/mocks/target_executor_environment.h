#pragma once

#include "gateway/target_executor.h"
#include "gateway/tests/mocks/fake_dependencies.h"
#include "gateway/tests/mocks/fake_http_client.h"
#include "gateway/tests/mocks/virtual_scheduler.h"

namespace teaseljunction {

/// A target executor with fake dependencies and virtual time. No target has announced itself.
struct target_executor_environment {
  virtual_scheduler time;
  seeded_random_source random{3};
  call_context_table contexts{random};
  fake_http_client client;
  quarantine_registry quarantine;
  call_header_names headers;
  call_graph graph;
  target_executor executor{
      target_executor_dependencies{time, time, contexts, client, quarantine, headers, graph}, "d1",
      admission_controller_builder().Build()};
};

}  // namespace teaseljunction

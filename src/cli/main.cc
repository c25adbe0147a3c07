#include <curl/curl.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "common/log.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  teaseljunction::curl_transport transport;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const teaseljunction::exit_code code = teaseljunction::RunCommandLine(
      teaseljunction::AllCommands(), arguments,
      [](const std::string& name) { return std::getenv(name.c_str()); },
      {std::cout, std::cerr, transport});
  return static_cast<int>(code);
}

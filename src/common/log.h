#pragma once

// The macros of easylogging++ conflict with those of Catch2. Only source files include this header;
// headers include log_settings.h.
#include <easylogging++.h>

#include "common/log_settings.h"

#pragma once

// The macros of easylogging++ collide with those of the test library, so headers include
// log_settings.h and only sources include this one.
#include <easylogging++.h>

#include "common/log_settings.h"

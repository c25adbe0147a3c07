# Declares the static library of a module.
#   teaseljunction_module(NAME SOURCES file... [DEPS target...])
# The library is named teaseljunction_NAME, with src/ as its include root.
# -Wmaybe-uninitialized is disabled because GCC 12 gives false positives for variants.
function(teaseljunction_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(teaseljunction_${name} STATIC ${ARG_SOURCES})
  target_include_directories(teaseljunction_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>)
  target_compile_options(teaseljunction_${name} PRIVATE -Wall -Wextra -Wold-style-cast -Wno-missing-field-initializers -Wno-maybe-uninitialized -Werror)
  target_link_libraries(teaseljunction_${name} PUBLIC ${ARG_DEPS} Threads::Threads)
endfunction()

# Declares the test program of a module, named NAME_test. Does nothing without BUILD_TESTING.
# Test cases that KNOWN-RED.txt lists in lines `red-test: PROGRAM "CASE"` are left out.
#   teaseljunction_module_test(NAME SOURCES file... [DEPS target...])
function(teaseljunction_module_test name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/common/tests/test_main.cc)
  target_compile_options(${name}_test PRIVATE -Wall -Wextra -Wold-style-cast -Wno-missing-field-initializers -Wno-maybe-uninitialized -Werror)
  target_link_libraries(${name}_test PRIVATE teaseljunction_${name} ${ARG_DEPS})
  set(known_red ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
  set_property(DIRECTORY ${PROJECT_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${known_red})
  file(STRINGS ${known_red} red_cases REGEX "^red-test: ${name}_test \"")
  list(TRANSFORM red_cases REPLACE "^red-test: ${name}_test \"(.*)\"$" "~\\1")
  add_test(NAME ${name} COMMAND ${name}_test ${red_cases})
endfunction()

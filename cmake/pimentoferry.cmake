# Functions that define the libraries, programs and tests of the project.

# Warnings are errors in the development build. The optimised build of GCC 12
# reports false positives (overlapping copies in std::string, GCC bug 105329,
# and uninitialised variants that a coroutine moves).
set(PF_WARNINGS -Wall -Wextra -Wpedantic)
if(BUILD_TESTING)
  list(APPEND PF_WARNINGS -Werror)
endif()

# pf_library(NAME SOURCES file... [DEPS target...])
#   Adds the static library pf_NAME, included as "pimentoferry/NAME/...".
function(pf_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_library(pf_${name} STATIC ${arg_SOURCES})
  target_include_directories(pf_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_compile_options(pf_${name} PRIVATE ${PF_WARNINGS})
  target_link_libraries(pf_${name} PUBLIC ${arg_DEPS} Threads::Threads)
endfunction()

# pf_program(NAME SOURCES file... [DEPS target...])
function(pf_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${PF_WARNINGS})
  target_link_libraries(${name} PRIVATE ${arg_DEPS} Threads::Threads)
endfunction()

# pf_test(NAME LABEL unit|invariant|process SOURCES file... [DEPS target...]
#         [TIMEOUT seconds] [ENVIRONMENT var=value...])
#   Adds a CppUnit test program and registers it with ctest. Each test source
#   registers its suites; cmake/test_main.cpp runs them all.
function(pf_test name)
  cmake_parse_arguments(arg "" "LABEL;TIMEOUT" "SOURCES;DEPS;ENVIRONMENT"
    ${ARGN})
  if(NOT BUILD_TESTING)
    return()
  endif()
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  pf_program(${name}
    SOURCES ${arg_SOURCES} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp
    DEPS ${arg_DEPS} cppunit)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES LABELS ${arg_LABEL}
    TIMEOUT ${arg_TIMEOUT} ENVIRONMENT "${arg_ENVIRONMENT}")
endfunction()

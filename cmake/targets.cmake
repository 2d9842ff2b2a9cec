# Warnings and sanitizers shared by every target of the project.
add_library(briarfield_warnings INTERFACE)
target_compile_options(briarfield_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion -Werror)
if(BRIARFIELD_FUZZ)
  if(NOT CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
    message(FATAL_ERROR "BRIARFIELD_FUZZ needs clang: -DCMAKE_CXX_COMPILER=clang++")
  endif()
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
    -fno-sanitize-recover=all -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
if(BRIARFIELD_SANITIZE)
  # With the sanitizers GCC 12 issues this warning for its own <regex>.
  add_compile_options(-Wno-maybe-uninitialized)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
    -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

# briarfield_library(name SOURCES ... DEPENDS ...): one library of the project.
function(briarfield_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(briarfield_${name} STATIC ${ARG_SOURCES})
  add_library(briarfield::${name} ALIAS briarfield_${name})
  set_target_properties(briarfield_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(briarfield_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(briarfield_${name}
    PUBLIC ${ARG_DEPENDS}
    PRIVATE ${ARG_PRIVATE_DEPENDS} $<BUILD_INTERFACE:briarfield_warnings>)
endfunction()

# briarfield_install(name ...): installs libraries for use by other projects.
function(briarfield_install)
  list(TRANSFORM ARGN PREPEND briarfield_)
  install(TARGETS ${ARGN} EXPORT briarfield-targets)
endfunction()

# briarfield_fuzz(name DEPENDS ...): a libFuzzer harness, fuzz/name.cpp.
function(briarfield_fuzz name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(fuzz_${name} ${name}.cpp)
  target_include_directories(fuzz_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(fuzz_${name} PRIVATE ${ARG_DEPENDS}
    briarfield_warnings)
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
endfunction()

# briarfield_test(name SOURCES ... DEPENDS ...): test program of a library.
function(briarfield_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/test/main.cpp)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/test)
  target_compile_definitions(${name} PRIVATE
    BRIARFIELD_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUNIT
    rapidcheck briarfield_warnings)
  add_test(NAME ${name} COMMAND ${name})
  # A fixed seed makes the generated schedules identical in each run; set
  # RC_PARAMS by hand to generate others.
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

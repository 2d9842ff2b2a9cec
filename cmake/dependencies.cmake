# Libraries as Debian packages them; see docs/design/libraries.md.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(OpenSSL 3 REQUIRED)
# By pkg-config: the CMake package of Cap'n Proto searches for a separate
# libatomic, which Debian does not package.
pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp-rpc)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
pkg_check_modules(LWS REQUIRED IMPORTED_TARGET libwebsockets)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(PROMETHEUS REQUIRED IMPORTED_TARGET prometheus-cpp-core)
if(NOT BRIARFIELD_PLATFORM_ONLY)
  pkg_check_modules(CPPUNIT REQUIRED IMPORTED_TARGET cppunit)
  find_package(rapidcheck REQUIRED)
endif()

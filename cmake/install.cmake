# Headers, and the CMake package that find_package(briarfield) reads.
include(CMakePackageConfigHelpers)

set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/briarfield)
install(DIRECTORY include/briarfield TYPE INCLUDE)
install(EXPORT briarfield-targets NAMESPACE briarfield::
  DESTINATION ${package_dir})
configure_package_config_file(cmake/briarfield-config.cmake.in
  ${PROJECT_BINARY_DIR}/briarfield-config.cmake
  INSTALL_DESTINATION ${package_dir})
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/briarfield-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${PROJECT_BINARY_DIR}/briarfield-config.cmake
  ${PROJECT_BINARY_DIR}/briarfield-config-version.cmake
  DESTINATION ${package_dir})

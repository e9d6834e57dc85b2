# Installs the library, its headers, the programs and the CMake package files
# for find_package(Banyanworks).
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/Banyanworks)
install(TARGETS banyanworks EXPORT BanyanworksTargets)
foreach(PROGRAM banyanworksd banyanworks-cli banyanworks-bench)
  if(TARGET ${PROGRAM})
    install(TARGETS ${PROGRAM})
  endif()
endforeach()
foreach(PART base kernel model jobs requests state)
  install(DIRECTORY src/${PART} DESTINATION include/banyanworks
    FILES_MATCHING PATTERN "*.h")
endforeach()
install(EXPORT BanyanworksTargets NAMESPACE Banyanworks::
  DESTINATION ${PACKAGE_DIR})
file(WRITE ${CMAKE_BINARY_DIR}/BanyanworksConfig.cmake
  "include(CMakeFindDependencyMacro)\nfind_dependency(Threads)\n"
  "include(\${CMAKE_CURRENT_LIST_DIR}/BanyanworksTargets.cmake)\n")
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/BanyanworksConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/BanyanworksConfig.cmake
  ${CMAKE_BINARY_DIR}/BanyanworksConfigVersion.cmake
  DESTINATION ${PACKAGE_DIR})

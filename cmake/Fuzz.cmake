# Builds a libFuzzer program from each test/fuzz/Fuzz*.cpp; requires clang.
file(GLOB FUZZ_SOURCES CONFIGURE_DEPENDS test/fuzz/Fuzz*.cpp)
foreach(SOURCE ${FUZZ_SOURCES})
  get_filename_component(TARGET ${SOURCE} NAME_WE)
  add_executable(${TARGET} ${SOURCE})
  target_link_libraries(${TARGET} PRIVATE banyanworks_edge)
  target_link_options(${TARGET} PRIVATE -fsanitize=fuzzer)
endforeach()

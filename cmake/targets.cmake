# Helpers that build one library per folder and one program per test, benchmark or fuzz target, so
# that a new file needs no edit here: NAME_test.cpp, NAME_benchmark.cpp and NAME_fuzz.cpp in the
# folder's testing/, and in the testing/ of each folder below it, are found by their names.

# A static library of all sources in the current folder.
function(fireflyroute_library NAME)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${NAME} STATIC ${SOURCES})
    target_link_libraries(${NAME} PUBLIC fireflyroute_options ${ARGN})
endfunction()

# Adds the sources of each folder below the current one to a library, except those in testing/.
function(fireflyroute_add_folders NAME)
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/*.cpp)
    list(FILTER SOURCES EXCLUDE REGEX "/testing/[^/]*$")
    target_sources(${NAME} PRIVATE ${SOURCES})
endfunction()

# One ctest entry per *_test.cpp; benchmarks and fuzz targets are built and not run by ctest.
function(fireflyroute_tests PREFIX)
    if(NOT FIREFLYROUTE_TESTS)
        return()
    endif()
    file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/testing/*_test.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/*/testing/*_test.cpp)
    foreach(SOURCE ${TESTS})
        get_filename_component(STEM ${SOURCE} NAME_WE)
        add_executable(${PREFIX}_${STEM} ${SOURCE})
        target_link_libraries(${PREFIX}_${STEM} PRIVATE ${ARGN} Boost::unit_test_framework)
        add_test(NAME ${PREFIX}.${STEM} COMMAND ${PREFIX}_${STEM} --color_output=no)
        set_tests_properties(${PREFIX}.${STEM} PROPERTIES LABELS ${PREFIX} TIMEOUT 300)
    endforeach()
    file(GLOB BENCHMARKS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/testing/*_benchmark.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/*/testing/*_benchmark.cpp)
    foreach(SOURCE ${BENCHMARKS})
        get_filename_component(STEM ${SOURCE} NAME_WE)
        add_executable(${PREFIX}_${STEM} ${SOURCE})
        target_link_libraries(${PREFIX}_${STEM} PRIVATE ${ARGN} benchmark::benchmark)
    endforeach()
    if(FIREFLYROUTE_FUZZ)
        file(GLOB FUZZERS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/testing/*_fuzz.cpp
             ${CMAKE_CURRENT_SOURCE_DIR}/*/testing/*_fuzz.cpp)
        foreach(SOURCE ${FUZZERS})
            get_filename_component(STEM ${SOURCE} NAME_WE)
            add_executable(${PREFIX}_${STEM} ${SOURCE})
            target_link_libraries(${PREFIX}_${STEM} PRIVATE ${ARGN})
            target_link_options(${PREFIX}_${STEM} PRIVATE -fsanitize=fuzzer)
        endforeach()
    endif()
endfunction()

# Compiler options shared by every target of the project.
add_library(fireflyroute_options INTERFACE)
target_include_directories(fireflyroute_options INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_options(fireflyroute_options INTERFACE -Wall -Wextra -Werror -Wno-deprecated-declarations
                                                      -Wno-missing-field-initializers)
target_compile_definitions(fireflyroute_options INTERFACE BOOST_TEST_DYN_LINK)
if(FIREFLYROUTE_SANITIZE)
    target_compile_options(fireflyroute_options INTERFACE -fsanitize=${FIREFLYROUTE_SANITIZE}
                                                          -fno-omit-frame-pointer
                                                          -fno-sanitize-recover=all)
    target_link_options(fireflyroute_options INTERFACE -fsanitize=${FIREFLYROUTE_SANITIZE})
endif()
# Coverage for the fuzz targets, without the fuzzer's main().
if(FIREFLYROUTE_FUZZ)
    target_compile_options(fireflyroute_options INTERFACE -fsanitize=fuzzer-no-link)
endif()

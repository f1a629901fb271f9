# Compile options and functions shared by all libraries.

add_library(burdock_options INTERFACE)
# The disabled warnings are false positives of GCC 12: mismatched new and delete operators and uninitialized members in Asio's
# coroutine frames, and overlapping copies in std::string's operator+.
target_compile_options(burdock_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-maybe-uninitialized -Wno-mismatched-new-delete -Wno-restrict)
target_compile_definitions(burdock_options INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_BEAST_USE_STD_STRING_VIEW)
if(BURDOCK_SANITIZE)
    target_compile_options(burdock_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    target_link_options(burdock_options INTERFACE -fsanitize=address,undefined)
endif()

# burdock_package(NAME <name> [DEPENDS <targets>] [PRIVATE_DEPENDS <targets>])
# Adds the static library of a directory under lib/ and exports it as burdock::<name>.
function(burdock_package)
    cmake_parse_arguments(ARG "" "NAME" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/source/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/generated/*.cc)
    add_library(burdock-${ARG_NAME} STATIC ${sources})
    add_library(burdock::${ARG_NAME} ALIAS burdock-${ARG_NAME})
    target_include_directories(burdock-${ARG_NAME} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/generated)
        target_include_directories(burdock-${ARG_NAME} SYSTEM PUBLIC
            $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/generated>)
        install(DIRECTORY generated/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
    endif()
    target_link_libraries(burdock-${ARG_NAME} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS} $<BUILD_INTERFACE:burdock_options>)
    set_target_properties(burdock-${ARG_NAME} PROPERTIES EXPORT_NAME ${ARG_NAME})
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
    install(TARGETS burdock-${ARG_NAME} EXPORT burdockTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endfunction()

function(burdock_install_packages)
    install(EXPORT burdockTargets NAMESPACE burdock:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/burdock)
    configure_package_config_file(${CMAKE_SOURCE_DIR}/cmake/burdockConfig.cmake.in ${CMAKE_BINARY_DIR}/burdockConfig.cmake
        INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/burdock)
    install(FILES ${CMAKE_BINARY_DIR}/burdockConfig.cmake DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/burdock)
endfunction()

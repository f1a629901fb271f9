# Builds a Debian package of the two binaries, the systemd unit, the examples and the monitoring files.
# Run `cpack -G DEB` in the build directory.
install(FILES ${CMAKE_SOURCE_DIR}/dist/systemd/burdockpaddled.service DESTINATION lib/systemd/system COMPONENT runtime)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/dist/examples ${CMAKE_SOURCE_DIR}/dist/monitoring DESTINATION share/doc/burdockpaddle
        COMPONENT runtime)
install(FILES ${CMAKE_SOURCE_DIR}/docs/OPERATING.md DESTINATION share/doc/burdockpaddle COMPONENT runtime)

set(CPACK_GENERATOR DEB)
set(CPACK_PACKAGE_NAME burdockpaddle)
set(CPACK_PACKAGE_CONTACT "the burdockpaddle developers <developers@burdockpaddle.invalid>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY "serves language-model prompts whose callers return after long gaps")
set(CPACK_PACKAGING_INSTALL_PREFIX /usr)
set(CPACK_COMPONENTS_ALL runtime)
set(CPACK_DEB_COMPONENT_INSTALL ON)
set(CPACK_DEBIAN_RUNTIME_PACKAGE_NAME burdockpaddle)
set(CPACK_DEBIAN_RUNTIME_FILE_NAME burdockpaddle.deb)
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_DEBIAN_PACKAGE_SECTION net)
set(CPACK_STRIP_FILES ON)
include(CPack)

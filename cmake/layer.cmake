# marblevale_layer(NAME [DEPENDS layer...] [LIBRARIES target...])
#
# Makes the static library marblevale_NAME of the sources in src/NAME. Its include path holds one
# directory with a link to src/NAME alone, so that a header of a layer that is not among the
# dependencies is not found: the direction of includes is kept by the build.
function(marblevale_layer name)
  cmake_parse_arguments(layer "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/src/${name}/*.cpp")
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  set(include_root "${CMAKE_CURRENT_BINARY_DIR}/layers/${name}")
  file(MAKE_DIRECTORY "${include_root}")
  file(CREATE_LINK "${CMAKE_CURRENT_SOURCE_DIR}/src/${name}" "${include_root}/${name}" SYMBOLIC)

  set(target "marblevale_${name}")
  add_library(${target} STATIC ${sources})
  target_include_directories(${target} PUBLIC "${include_root}")
  target_compile_options(${target} PUBLIC -Wall -Wextra -Werror)
  target_link_libraries(${target} PUBLIC spdlog::spdlog ${layer_LIBRARIES})
  foreach(dependency IN LISTS layer_DEPENDS)
    target_link_libraries(${target} PUBLIC "marblevale_${dependency}")
  endforeach()
  if(MARBLEVALE_SANITIZE)
    target_compile_options(${target} PUBLIC -fsanitize=address,undefined -fno-sanitize-recover=all -g)
    target_link_options(${target} PUBLIC -fsanitize=address,undefined)
  endif()
endfunction()

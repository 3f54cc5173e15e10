# Programs other than the controller: client, worker agent and loopback site. deploy/service.toml builds none of them.
find_package(PkgConfig REQUIRED)
find_package(SQLite3 REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

barrowrun_embed(schema/worker.schema.json worker worker_schema)

add_library(barrowrun_depot STATIC src/depot/files.cpp src/depot/depot.cpp)
target_link_libraries(barrowrun_depot PUBLIC barrowrun_wire PRIVATE PkgConfig::XXHASH barrowrun_flags)

add_library(barrowrun_store STATIC src/store/sqlite.cpp)
target_include_directories(barrowrun_store PUBLIC src)
target_link_libraries(barrowrun_store PUBLIC SQLite::SQLite3 PRIVATE barrowrun_flags)

add_library(barrowrun_proc STATIC src/proc/spawn.cpp)
target_include_directories(barrowrun_proc PUBLIC src)
target_link_libraries(barrowrun_proc PRIVATE barrowrun_flags)

add_library(barrowrun_worker_parts STATIC
  src/worker/machine.cpp
  src/worker/stage.cpp
  src/worker/process.cpp
  src/worker/executor.cpp
  src/worker/agent.cpp)
target_include_directories(barrowrun_worker_parts PRIVATE ${CMAKE_CURRENT_BINARY_DIR}/generated)
target_link_libraries(barrowrun_worker_parts PUBLIC barrowrun_daemon barrowrun_depot barrowrun_proc PRIVATE barrowrun_flags)

add_library(barrowrun_lab_parts STATIC
  src/lab/state_store.cpp
  src/lab/service.cpp
  src/lab/state_service.cpp
  src/lab/child.cpp
  src/lab/cloud_model.cpp
  src/lab/cloud_service.cpp
  src/lab/relay.cpp
  src/lab/site.cpp)
target_link_libraries(barrowrun_lab_parts PUBLIC barrowrun_worker_parts barrowrun_store PRIVATE barrowrun_flags)

# Workflow decisions and the Makefile reader. The only I/O is on files that rules name.
add_library(barrowrun_workflow STATIC
  src/workflow/graph.cpp
  src/workflow/flow.cpp
  src/workflow/make/text.cpp
  src/workflow/make/expand.cpp
  src/workflow/make/functions.cpp
  src/workflow/make/parse.cpp
  src/workflow/make/rules.cpp
  src/workflow/make/resolve.cpp
  src/workflow/make/makefile.cpp)
target_link_libraries(barrowrun_workflow PUBLIC barrowrun_depot Threads::Threads PRIVATE barrowrun_flags)

# The Snakefile reader embeds a Python interpreter, so it is a separate library.
find_package(Python3 REQUIRED COMPONENTS Development.Embed)
find_package(yaml-cpp REQUIRED)
barrowrun_embed(src/workflow/snakemake/prelude.py workflow::snakemake prelude workflow/snakemake)
add_library(barrowrun_snakemake STATIC src/workflow/snakemake/snakefile.cpp)
target_include_directories(barrowrun_snakemake PRIVATE ${CMAKE_CURRENT_BINARY_DIR}/generated)
target_link_libraries(barrowrun_snakemake PUBLIC barrowrun_workflow PRIVATE Python3::Python yaml-cpp barrowrun_flags)

add_library(barrowrun_client STATIC src/client/client.cpp)
target_link_libraries(barrowrun_client PUBLIC barrowrun_daemon PRIVATE barrowrun_flags)

add_library(barrowrun_driver STATIC src/workflow/journal.cpp src/workflow/driver.cpp)
target_link_libraries(barrowrun_driver PUBLIC barrowrun_workflow barrowrun_client barrowrun_store PRIVATE barrowrun_flags)

set(CURSES_NEED_WIDE TRUE)
find_package(Curses REQUIRED)
barrowrun_embed(schema/client.schema.json ctl client_schema)
barrowrun_embed(schema/job.schema.json ctl job_schema)
add_library(barrowrun_ctl_parts STATIC src/ctl/site.cpp src/ctl/jobs.cpp src/ctl/progress.cpp src/ctl/flows.cpp src/ctl/quota.cpp src/ctl/watch.cpp)
target_include_directories(barrowrun_ctl_parts PRIVATE ${CMAKE_CURRENT_BINARY_DIR}/generated ${CURSES_INCLUDE_DIRS})
target_link_libraries(barrowrun_ctl_parts PUBLIC barrowrun_driver barrowrun_snakemake PRIVATE ${CURSES_LIBRARIES} barrowrun_flags)
add_executable(barrowctl src/ctl/main.cpp)
target_link_libraries(barrowctl PRIVATE barrowrun_ctl_parts CLI11::CLI11 barrowrun_flags)
target_compile_definitions(barrowctl PRIVATE BARROWRUN_VERSION="${PROJECT_VERSION}")

foreach(program worker lab)
  add_executable(barrowrun-${program} src/${program}/main.cpp)
  target_link_libraries(barrowrun-${program} PRIVATE barrowrun_${program}_parts CLI11::CLI11 barrowrun_flags)
  target_compile_definitions(barrowrun-${program} PRIVATE BARROWRUN_VERSION="${PROJECT_VERSION}")
endforeach()

option(BARROWRUN_BENCH "build the benchmarks" OFF)
if(BARROWRUN_BENCH)
  find_package(benchmark REQUIRED)
  add_executable(workflow_bench bench/workflow_bench.cpp)
  target_link_libraries(workflow_bench PRIVATE barrowrun_workflow benchmark::benchmark barrowrun_flags)
  add_executable(quota_bench bench/quota_bench.cpp)
  target_link_libraries(quota_bench PRIVATE barrowrun_core benchmark::benchmark barrowrun_flags)
  add_executable(cells_bench bench/cells_bench.cpp)
  target_link_libraries(cells_bench PRIVATE barrowrun_core benchmark::benchmark barrowrun_flags)
  add_executable(quota_day bench/quota_day.cpp)
  target_link_libraries(quota_day PRIVATE barrowrun_core barrowrun_flags)
endif()

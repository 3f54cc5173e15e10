#pragma once
// Log set-up: log lines go to standard error. The environment variable LOG_LEVEL sets the level to debug,
// info, warn or error; any other value means info. `default_level` applies if the variable is not set.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace barrowrun::base {

inline void log_to_stderr(const char* name, const char* default_level = "info") {
    auto logger = std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern("%H:%M:%S.%e %l %v");
    spdlog::set_default_logger(logger);
    const char* level = std::getenv("LOG_LEVEL");
    std::string wanted = level ? level : default_level;
    spdlog::set_level(wanted == "debug"   ? spdlog::level::debug
                      : wanted == "error" ? spdlog::level::err
                      : wanted == "warn"  ? spdlog::level::warn
                                          : spdlog::level::info);
}

}  // namespace barrowrun::base

#include <CLI/CLI.hpp>
#include <cstdio>

#include "base/logging.hpp"
#include "config/schema.hpp"
#include "worker/agent.hpp"

int main(int argc, char** argv) {
    CLI::App cli{"barrowrun-worker: runs the tasks that the controllers assign to this machine"};
    std::string settings_file;
    bool check_only = false;
    cli.add_option("--config", settings_file,
                   "settings file of this worker (JSON, see schema/worker.schema.json)")
        ->required();
    cli.add_flag("--check-config", check_only, "validate the settings file and exit");
    cli.set_version_flag("--version", "barrowrun-worker " BARROWRUN_VERSION);
    CLI11_PARSE(cli, argc, argv);
    barrowrun::base::log_to_stderr("worker");
    try {
        auto settings_text = barrowrun::depot::read_all(settings_file);
        if (!settings_text) throw barrowrun::config::ConfigError("the file cannot be read");
        auto settings = barrowrun::worker::parse_worker_settings(*settings_text);
        if (check_only) {
            std::puts("the settings are valid");
            return 0;
        }
        boost::asio::io_context io{1};
        barrowrun::worker::Agent agent(io, settings);
        agent.start();
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](auto error, int) {
            if (error) return;
            agent.stop();
            io.stop();
        });
        spdlog::info("machine {}: listening for commands on {}", settings.name, settings.listen);
        io.run();
    } catch (const barrowrun::config::ConfigError& error) {
        std::fprintf(stderr, "barrowrun-worker: %s: %s\n", settings_file.c_str(), error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "barrowrun-worker: %s\n", error.what());
        return 1;
    }
    return 0;
}

#include <CLI/CLI.hpp>
#include <cstdio>

#include "base/logging.hpp"
#include "config/schema.hpp"
#include "worker/agent.hpp"

int main(int argc, char** argv) {
    CLI::App cli{"barrowrun-worker: runs tasks on one machine, as the controllers say"};
    std::string file;
    bool check = false;
    cli.add_option("--config", file, "this worker's settings (JSON, see schema/worker.schema.json)")
        ->required();
    cli.add_flag("--check-config", check, "check the settings and end");
    cli.set_version_flag("--version", "barrowrun-worker " BARROWRUN_VERSION);
    CLI11_PARSE(cli, argc, argv);
    barrowrun::base::log_to_stderr("worker");
    try {
        auto text = barrowrun::depot::read_all(file);
        if (!text) throw barrowrun::config::ConfigError("the file cannot be read");
        auto settings = barrowrun::worker::parse_worker_settings(*text);
        if (check) {
            std::puts("the settings are fine");
            return 0;
        }
        boost::asio::io_context io{1};
        barrowrun::worker::Agent agent(io, settings);
        agent.start();
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](auto ec, int) {
            if (ec) return;
            agent.stop();
            io.stop();
        });
        spdlog::info("machine {} takes commands on {}", settings.name, settings.listen);
        io.run();
    } catch (const barrowrun::config::ConfigError& e) {
        std::fprintf(stderr, "barrowrun-worker: %s: %s\n", file.c_str(), e.what());
        return 2;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "barrowrun-worker: %s\n", e.what());
        return 1;
    }
    return 0;
}

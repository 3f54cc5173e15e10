#include <CLI/CLI.hpp>
#include <cstdio>

#include "api/node.hpp"
#include "base/logging.hpp"
#include "settings/settings.hpp"

int main(int argc, char** argv) {
    CLI::App cli{"barrowrun: a cluster scheduler with first-come queues, one per priority level"};
    std::string config;
    std::string operator_config;
    bool check_only = false;
    cli.add_option("--config", config, "the platform's settings file (JSON)")->required();
    cli.add_option("--operator", operator_config,
                   "operator settings file (JSON, see schema/operator.schema.json)");
    cli.add_flag("--check-config", check_only, "check the settings and exit");
    cli.set_version_flag("--version", "barrowrun " BARROWRUN_VERSION);
    CLI11_PARSE(cli, argc, argv);

    barrowrun::base::log_to_stderr("barrowrun");
    const std::string* current_file = &config;
    try {
        auto settings = barrowrun::settings::load_settings(config);
        if (!operator_config.empty()) {
            current_file = &operator_config;
            barrowrun::settings::apply_operator_settings(settings,
                                                         barrowrun::settings::read_file(operator_config));
        }
        if (check_only) {
            std::puts("the settings are valid");
            return 0;
        }
        boost::asio::io_context io{1};
        barrowrun::api::Node node(io, settings);
        node.start();
        spdlog::info("node {}: listening on {}", settings.node_name, settings.listen_address);
        io.run();
    } catch (const barrowrun::settings::SettingsError& e) {
        std::fprintf(stderr, "barrowrun: %s: %s\n", current_file->c_str(), e.what());
        return 2;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "barrowrun: %s\n", e.what());
        return 1;
    }
    return 0;
}

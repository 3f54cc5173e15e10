#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>

#include "base/logging.hpp"
#include "depot/files.hpp"
#include "lab/cloud_service.hpp"
#include "lab/site.hpp"
#include "lab/state_service.hpp"

using namespace barrowrun;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

int run_state(const std::string& listen, const std::string& file, const lab::StateLimits& limits) {
    asio::io_context io{1};
    lab::StateService service(io, file, limits);
    service.listen(listen);
    service.start();
    spdlog::info("state service (simulated): listening on {}", listen);
    io.run();
    return 0;
}

int run_cloud(const std::string& listen, const std::string& dir, const std::string& config) {
    // Orphaned processes of the simulated machines are reparented to this process rather than to init.
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);
    auto json = wire::Json::parse(depot::read_all(config).value());
    std::vector<wire::MachineType> types;
    for (auto& t : json.at("types")) {
        wire::MachineType machine;
        machine.name = t.at("name");
        machine.cpus = t.at("cpus"), machine.gpus = t.value("gpus", 0.0), machine.mem_gb = t.at("mem_gb");
        machine.cache_gb = 100, machine.fetch_gb_per_s = 100;
        machine.price = t.value("price", 1.0), machine.spot_price = machine.price / 3,
        machine.boot_s = t.value("boot_s", 1.0);
        machine.zones = t.value("zones", std::vector<std::string>{"lab"});
        types.push_back(std::move(machine));
    }
    lab::CloudLimits limits{json.value("rps", 20.0), json.value("list_lag_s", 1.0),
                            json.value("machines", std::size_t{4})};
    lab::CloudSettings settings{dir, json.at("worker"), json.at("worker_settings"), json.at("zones"),
                                json.value("warm", std::size_t{0})};
    asio::io_context io{1};
    lab::CloudService service(io, lab::CloudModel(types, limits, std::random_device{}()), settings);
    service.listen(listen);
    service.start();
    spdlog::info("cloud (simulated): listening on {}", listen);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto ec, int) {
        if (!ec) io.stop();
    });
    io.run();
    service.kill_all();
    return 0;
}

std::shared_ptr<lab::Child> start_command(asio::io_context& io, lab::Site& site,
                                          const std::vector<std::string>& argv, const std::string& mark) {
    auto env = site.environment();
    env[proc::mark_variable] = mark;
    return std::make_shared<lab::Child>(io, lab::Child::Command{argv, "", env, false});
}

net::Task<int> run_command(asio::io_context& io, std::vector<lab::Site*> sites, std::vector<std::string> argv,
                           std::shared_ptr<lab::Child>& child, bool& interrupted, std::string mark) {
    bool up = true;
    for (auto* s : sites) up = co_await s->ready(30s) && up;
    if (!up) {
        std::fprintf(stderr,
                     "barrowrun-lab: the site was not ready within 30 s; see the logs in its directory\n");
        co_return 1;
    }
    if (interrupted) co_return 130;
    child = start_command(io, *sites.front(), argv, mark);
    const int status = co_await child->wait();
    co_return status;
}

int run_site(lab::SiteSettings settings, std::vector<std::string> argv, bool keep_dir, int cells,
             int machines_elsewhere) {
    asio::io_context io{1};
    // The command uses the first site; the others are further cells.
    std::vector<std::unique_ptr<lab::Site>> sites;
    for (int i = 0; i < cells; ++i) {
        auto cell_settings = settings;
        if (cells > 1) {
            cell_settings.cell = "cell-" + std::to_string(i + 1);
            cell_settings.depot = settings.dir + "/depot";
            cell_settings.dir = settings.dir + "/" + cell_settings.cell;
            if (i > 0 && machines_elsewhere > 0) cell_settings.machines = machines_elsewhere;
        }
        sites.push_back(std::make_unique<lab::Site>(io, cell_settings));
        sites.back()->allocate_addresses();
    }
    for (int i = 0; i < cells; ++i)
        for (int k = 0; k < cells; ++k)
            if (i != k)
                sites[static_cast<std::size_t>(i)]->add_neighbour(
                    "cell-" + std::to_string(k + 1),
                    sites[static_cast<std::size_t>(k)]->internal_addresses());
    std::filesystem::create_directories(settings.dir + "/depot");
    for (auto& s : sites) s->start();
    lab::Site& site = *sites.front();
    std::shared_ptr<lab::Child> child;
    bool interrupted = false;
    int status = 0;
    const std::string mark = settings.dir + "/command";
    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    signals.async_wait([&](auto ec, int number) {
        if (ec) return;
        interrupted = true;
        status = 128 + number;
        if (child && child->alive()) {
            // The command shares the terminal and has already received the SIGINT. It gets 3 s to exit.
            child->signal(SIGTERM);
            auto timer = std::make_shared<asio::steady_timer>(io, 3s);
            timer->async_wait([&io, timer](auto) { io.stop(); });
        } else {
            io.stop();
        }
    });
    if (argv.empty()) {
        auto up = [&]() -> net::Task<> {
            bool good = co_await site.ready(30s);
            std::printf("%s\n", good ? "the site is up" : "the site was not ready within 30 s");
            for (auto& [k, v] : site.environment()) std::printf("export %s=%s\n", k.c_str(), v.c_str());
            std::fflush(stdout);
        };
        asio::co_spawn(io, up(), asio::detached);
    } else {
        std::vector<lab::Site*> all;
        for (auto& s : sites) all.push_back(s.get());
        asio::co_spawn(io, run_command(io, all, argv, child, interrupted, mark),
                       [&](std::exception_ptr e, int s) {
                           if (e) {
                               try {
                                   std::rethrow_exception(e);
                               } catch (const std::exception& err) {
                                   std::fprintf(stderr, "barrowrun-lab: %s\n", err.what());
                               }
                               s = 1;
                           }
                           if (!interrupted) status = s;
                           io.stop();
                       });
    }
    io.run();
    if (child && child->alive()) child->signal(SIGKILL);
    for (auto& s : sites) s->stop();
    // Processes that the command started are killed if the command was interrupted.
    if (interrupted) proc::end_marked(mark);
    if (!keep_dir) {
        std::error_code ec;
        std::filesystem::remove_all(settings.dir, ec);
    }
    return status;
}

int inject_fault(const std::string& control, const std::string& kind, const std::string& what, double for_s) {
    asio::io_context io{1};
    net::HttpClient client(io);
    int status = 1;
    auto call = [&]() -> net::Task<> {
        wire::Json body{{"kind", kind}, {"what", what}, {"for_s", for_s}};
        auto reply = co_await client.call(control, net::http::verb::post, "/fault", body, 10s);
        if (reply.status == 200) {
            std::printf("%s %s\n", kind.c_str(), wire::text(reply.body, "what").value_or(what).c_str());
            status = 0;
        } else if (reply.status == 0) {
            std::fprintf(stderr, "barrowrun-lab: no answer from a site at %s\n", control.c_str());
        } else {
            std::fprintf(stderr, "barrowrun-lab: %s\n",
                         wire::text(reply.body, "error").value_or("refused").c_str());
            status = reply.status == 400 || reply.status == 404 ? 2 : 1;
        }
    };
    asio::co_spawn(io, call(), asio::detached);
    io.run();
    return status;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli{
        "barrowrun-lab: runs a site of processes on the loopback interface and injects faults into it"};
    cli.require_subcommand(1);
    cli.set_version_flag("--version", "barrowrun-lab " BARROWRUN_VERSION);

    lab::SiteSettings site;
    int cells = 1, machines_elsewhere = 0;
    std::string dir;
    std::vector<std::string> command;
    auto* run = cli.add_subcommand("run", "start a site, run a command against it, and stop the site");
    auto* up = cli.add_subcommand("up", "start a site and keep it running until SIGINT");
    for (auto* sub : {run, up}) {
        sub->add_option("--controllers", site.controllers, "number of controller nodes")
            ->check(CLI::Range(1, 9));
        sub->add_option("--machines", site.machines,
                        "number of machines that can be rented; all are running at the start")
            ->check(CLI::Range(1, 64));
        sub->add_option("--cpus", site.cpus, "CPUs of each machine")->check(CLI::Range(0.1, 1024.0));
        sub->add_option("--gpus", site.gpus, "GPUs of each machine")->check(CLI::Range(0.0, 64.0));
        sub->add_option("--mem-gb", site.mem_gb, "memory of each machine in GB")
            ->check(CLI::Range(0.1, 65536.0));
        sub->add_option("--report-s", site.heartbeat_s, "interval between worker heartbeats in seconds")
            ->check(CLI::Range(0.1, 60.0));
        sub->add_option("--lease-s", site.lease_s, "duration of the worker lease in seconds")
            ->check(CLI::Range(2.0, 600.0));
        sub->add_option("--operator", site.operator_file, "JSON file with additional operator settings");
        sub->add_option("--team", site.teams,
                        "a team in addition to `lab`: NAME[:CPUS[:CPUS_MAX]], guaranteed CPUs and limit");
        sub->add_option(
            "--dir", dir,
            "directory for the files of the site (default: a temporary directory, removed at the end)");
        sub->add_option("--zones", site.zones,
                        "zones that controllers and machines are assigned to in turn; with several, a zone "
                        "can be isolated")
            ->delimiter(',');
        sub->add_option("--cells", cells,
                        "number of cells, each a site of its own; the command uses the first, cell-1")
            ->check(CLI::Range(1, 8));
        sub->add_option("--machines-elsewhere", machines_elsewhere,
                        "number of machines of each other cell (default: as --machines)")
            ->check(CLI::Range(1, 64));
        sub->add_option(
               "--return-after-s", site.return_after_s,
               "seconds without contact after which shards of class `batch` are reclaimed from a cell")
            ->check(CLI::Range(5.0, 3600.0));
        sub->add_flag("--relays", site.relays,
                      "route all connections through relays, so that they can be cut and slowed");
    }
    run->add_option("command", command, "command to run, after --")->required();
    run->positionals_at_end();

    std::string listen, file, config;
    lab::StateLimits limits;
    auto* state = cli.add_subcommand("state", "run only the simulated state service");
    state->add_option("--listen", listen)->required();
    state->add_option("--file", file, "SQLite file of the state service")->required();
    state->add_option("--rps", limits.rps);
    state->add_option("--write-rps", limits.write_rps);
    auto* cloud = cli.add_subcommand("cloud", "run only the simulated cloud");
    cloud->add_option("--listen", listen)->required();
    cloud->add_option("--dir", dir)->required();
    cloud->add_option("--config", config)->required();

    std::string kind, what, control;
    double for_s = 10;
    auto* fault = cli.add_subcommand("fault", "inject a fault into a running site");
    fault->add_option("kind", kind, "kill, cut, hang, slow, refuse or recall")
        ->required()
        ->check(CLI::IsMember({"kill", "cut", "hang", "slow", "refuse", "recall"}));
    fault
        ->add_option(
            "what", what,
            "leader, barrow-N, state, state:barrow-N, cloud, zone:NAME, machine[:NAME], worker[:NAME] or any")
        ->required();
    fault->add_option("--for", for_s, "duration of the fault in seconds")->check(CLI::Range(0.0, 3600.0));
    fault->add_option("--dir", dir, "directory of the site, if BARROWRUN_LAB is not set");
    CLI11_PARSE(cli, argc, argv);
    base::log_to_stderr("lab", *state || *cloud ? "info" : "warn");
    try {
        if (*state) return run_state(listen, file, limits);
        if (*cloud) return run_cloud(listen, dir, config);
        if (*fault) {
            if (const char* at = std::getenv("BARROWRUN_LAB"); at && dir.empty())
                control = at;
            else if (auto text = depot::read_all((dir.empty() ? "." : dir) + std::string("/site.json")))
                control = wire::Json::parse(*text).at("control");
            else {
                std::fprintf(stderr, "barrowrun-lab: no site found: set BARROWRUN_LAB or --dir\n");
                return 2;
            }
            return inject_fault(control, kind, what, for_s);
        }
        bool keep_dir = !dir.empty();
        if (!keep_dir) {
            std::string pattern = (std::filesystem::temp_directory_path() / "barrowrun-lab-XXXXXX").string();
            if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary directory");
            dir = pattern;
        }
        site.dir = dir;
        site.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
        return run_site(site, command, keep_dir, cells, machines_elsewhere);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "barrowrun-lab: %s\n", e.what());
        return 1;
    }
}

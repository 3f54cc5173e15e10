#pragma once
// The cloud by its protocol, within its rate.
#include "net/http_client.hpp"
#include "net/reach.hpp"
#include "wire/messages.hpp"

namespace barrowrun::fleet {

using net::Task;

enum class ProvisioningOutcome { granted, no_capacity, refused, unknown };

struct ProvisioningResult {
    ProvisioningOutcome outcome = ProvisioningOutcome::unknown;
    std::vector<std::string> machines;
};

class CloudClient {
  public:
    CloudClient(net::asio::io_context& io, std::string address, double rps)
        : address_(std::move(address)), client_(io, 6), budget_(rps * 0.85, rps) {}
    Task<std::optional<std::vector<wire::MachineType>>> types();
    Task<std::optional<wire::MachineList>> list();
    // Whether it takes connections, for the log alone: no request is made. Only leaders ask it anything.
    Task<> check_reachability();
    // Waits until the cloud's rate lets the next rental through.
    Task<> wait_for_rate_budget();
    Task<ProvisioningResult> provision(std::string request, std::string type, std::string zone, bool spot,
                                       int n);
    // True once the cloud says that the machines and everything on them are gone.
    Task<bool> return_machines(std::vector<std::string> names);

  private:
    Task<net::Reply> call(net::http::verb method, std::string target, std::optional<wire::Json> body,
                          Clock::duration deadline, bool charged = false);
    std::string address_;
    net::HttpClient client_;
    net::RateBudget budget_;
    net::Reach reach_{"the cloud"};
};

}  // namespace barrowrun::fleet

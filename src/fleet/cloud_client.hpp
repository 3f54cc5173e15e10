#pragma once
// Client of the cloud's HTTP API that keeps within the cloud's request rate limit.
#include "net/http_client.hpp"
#include "net/outage_log.hpp"
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
    // Logs whether the cloud accepts connections. Sends no request, because only the leader sends requests.
    Task<> check_reachability();
    // Waits until the rate limit allows the next provisioning request.
    Task<> wait_for_rate_budget();
    Task<ProvisioningResult> provision(std::string request, std::string type, std::string zone, bool spot,
                                       int n);
    // Returns true if the cloud confirms that the machines and everything on them are gone.
    Task<bool> return_machines(std::vector<std::string> names);

  private:
    // `budget_reserved`: the caller has already waited for the rate budget.
    Task<net::Reply> call(net::http::verb method, std::string target, std::optional<wire::Json> body,
                          Clock::duration deadline, bool budget_reserved = false);
    std::string address_;
    net::HttpClient client_;
    net::RateBudget budget_;
    net::OutageLog outage_log_{"the cloud"};
};

}  // namespace barrowrun::fleet

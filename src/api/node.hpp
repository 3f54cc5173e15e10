#pragma once
// A controller node: serves the routes of users, workers and other nodes, whether or not it leads.
#include <memory>

#include "api/leader.hpp"

namespace barrowrun::api {

class Node {
  public:
    Node(net::asio::io_context& io, const settings::Settings& settings);
    void start();

  private:
    Task<Response> public_route(net::Request request);
    Task<Response> peer_route(net::Request request);
    // Handlers of other nodes' requests, one per path. `peer_route` owns `body` and `part` and awaits the
    // result.
    Response answer_ping(const Json& body);
    Task<Response> delegation_from_cell(const Json& part, bool offer);
    Task<Response> lease_vote(const Json& body);
    Task<Response> worker_heartbeat_from_peer(const Json& body);
    Response job_status_for_peer(const Json& body);
    Task<Response> cancel_for_peer(const Json& body);
    Task<Response> job_accepted_by_peer(const Json& body);
    Task<Response> quota_request_from_peer(const Json& body);
    Task<Response> submission_from_peer(const Json& body);
    Task<Response> submit(std::string body);
    Task<Response> submit_job(wire::JobSpec spec, bool from_peer);
    // Why a submission is rejected.
    struct Rejection {
        int status = 0;
        std::string reason;
        int retry_after_s = 0;
    };
    std::optional<Rejection> rejected_by_settings(const wire::JobSpec& spec) const;
    // A job whose record the state service would not keep, or would not keep unchanged.
    std::optional<Rejection> rejected_by_record(const wire::JobSpec& spec) const;
    std::optional<Rejection> rejected_by_machine_types(const wire::JobSpec& spec) const;
    std::optional<Rejection> rejected_by_queue_bound(const wire::JobSpec& spec);
    Task<std::optional<Rejection>> find_rejection(const wire::JobSpec& spec);
    Task<Response> respond_rejected(std::string id, Rejection rejection);
    // Writes the job's record and returns the response. Nothing if this node can't write the record, or can't
    // tell whether it was written.
    Task<std::optional<Response>> write_submission(const state::JobRecord& record);
    Task<std::optional<Response>> forward_to_peer(const wire::JobSpec& spec);
    Task<Response> status(std::string id);
    Task<Response> cancel(std::string id, bool from_peer);
    Task<Response> worker_heartbeat(std::string body);
    // Requests of operators, which only the leader can answer.
    Task<Response> quota_request(std::string target, bool change, Json body, bool from_peer);
    Task<Response> explain(std::string id, bool from_peer);
    // Returns the error text for an unknown project; nothing if the project exists or this node can't tell.
    Task<std::optional<std::string>> check_project(const wire::JobSpec& spec);
    Response health();
    // A job's state as read from the state service, which any node may do. Not `conclusive`: the records
    // could not be read. Conclusive without a status: there is no such job.
    struct JobLookup {
        bool conclusive = false;
        std::optional<wire::JobStatus> status;
    };
    Task<JobLookup> look_up_job(std::string id);
    Task<bool> add_progress_parts(const wire::JobSpec& spec, std::optional<state::Progress>& progress);
    Task<> notify_leader(std::string id);
    Task<> load_catalog();
    Task<std::optional<Response>> forward_to_leader(std::string target, Json body, Clock::duration deadline);
    // The leader of the current term while it holds a valid leader lease, otherwise null.
    Leader* acting_leader() { return leader_ && leader_->may_act() ? leader_.get() : nullptr; }

    net::asio::io_context& io_;
    const settings::Settings& settings_;
    state::StateClient state_;
    fleet::CloudClient cloud_;
    net::HttpClient workers_, peers_;
    election::Election election_;
    std::vector<wire::MachineType> catalog_;
    net::HttpServer public_server_, peer_server_;
    std::shared_ptr<Leader> leader_;
    leases::LeaseRenewer renewer_;
    TimePoint renewal_logged_{};        // when the log last told that this node renews leases
    bool ready_ = true;                 // result of the last health check
    quota::TreePtr cached_quota_tree_;  // as last read; a follower checks projects with it
    std::map<std::string, wire::JobStatus> final_states_;  // cached final states of jobs, bounded
    fleet::WorkerRedirects redirects_;
};

}  // namespace barrowrun::api

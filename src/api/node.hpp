#pragma once
// A controller node: the routes of users, workers and other nodes, with or without the lead.
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
    // Requests of other nodes, by path. `body` and `part` belong to `peer_route`, which awaits the answer.
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
    // Why a submission isn't accepted.
    struct Rejection {
        int status = 0;
        std::string reason;
        int retry_after_s = 0;
    };
    std::optional<Rejection> rejected_by_settings(const wire::JobSpec& spec) const;
    std::optional<Rejection> rejected_by_machine_types(const wire::JobSpec& spec) const;
    std::optional<Rejection> rejected_by_queue_bound(const wire::JobSpec& spec);
    Task<std::optional<Rejection>> find_rejection(const wire::JobSpec& spec);
    Task<Response> respond_rejected(std::string id, Rejection rejection);
    // Accepts the job; nothing: this node can't tell whether it is on record, or can't write it.
    Task<std::optional<Response>> write_submission(const state::JobRecord& record);
    Task<std::optional<Response>> forward_to_peer(const wire::JobSpec& spec);
    Task<Response> status(std::string id);
    Task<Response> cancel(std::string id, bool from_peer);
    Task<Response> worker_heartbeat(std::string body);
    // Operators' requests, which only the leader can answer.
    Task<Response> quota_request(std::string target, bool change, Json body, bool from_peer);
    Task<Response> explain(std::string id, bool from_peer);
    // What is wrong with the job's project; nothing: it is there, or this node can't tell.
    Task<std::optional<std::string>> check_project(const wire::JobSpec& spec);
    Response health();
    // A job's state from the state service: any node may look. Nothing: it could not be read.
    struct JobLookup {
        bool conclusive = false;
        std::optional<wire::JobStatus> status;
    };
    Task<JobLookup> look_up_job(std::string id);
    Task<> notify_leader(std::string id);
    Task<> load_catalog();
    Task<std::optional<Response>> forward_to_leader(std::string target, Json body, Clock::duration deadline);
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
    TimePoint renewal_logged_{};
    bool ready_ = true;                                    // as the last look at its health told
    quota::TreePtr cached_quota_tree_;                     // as last read, to check projects without the lead
    std::map<std::string, wire::JobStatus> final_states_;  // final states seen, bounded
    fleet::WorkerRedirects redirects_;
};

}  // namespace barrowrun::api

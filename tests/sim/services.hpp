#pragma once
// The regional services of a simulated site, around the stand-ins' state machines: the state service with its
// troubles, and the cloud.
#include "lab/cloud_model.hpp"
#include "lab/state_store.hpp"
#include "sim/world.hpp"

namespace barrowrun::sim {

class StateServer {
  public:
    StateServer(World& world, lab::StateLimits limits);
    // Troubles, each until a moment.
    void refuse(const std::string& node, Nanos length) { refused_[node] = world_.now() + length; }
    void outage(Nanos length) { out_until_ = std::max(out_until_, world_.now() + length); }
    void slow(Nanos by, Nanos length) { slow_by_ = by, slow_until_ = world_.now() + length; }
    // Transactions without an answer: carried out at once, or 2 to 12 s late. One of `one_in`.
    void lose_answers(std::uint64_t one_in, Nanos length, bool at_once) {
        lost_one_in_ = one_in, lost_until_ = world_.now() + length, lost_at_once_ = at_once;
    }
    // A late transaction is carried out after just so long.
    void carry_out_late_after(Nanos delay) { late_after_ = delay; }
    // Of transactions that are carried out and answered with 200, one in so many arrives once or twice more,
    // 0.5 s to `latest` later.
    void copy_transactions(std::uint64_t one_in, Nanos length, Nanos latest) {
        copies_one_in_ = one_in, copies_until_ = world_.now() + length, copies_latest_ = latest;
    }
    // Called when a copy was carried out.
    std::function<void()> on_copy_carried_out;
    std::uint64_t copies_carried_out() const { return copies_carried_out_; }
    // Transactions that set a record whose key begins so are answered with 400.
    void reject(std::string key) { rejected_key_ = std::move(key); }
    std::uint64_t rejected() const { return rejected_; }  // transactions so far
    // Only transactions that hold the text are hit.
    void lose_only(std::string text) { lost_only_ = std::move(text); }
    std::uint64_t writes() const { return writes_; }
    std::uint64_t over_the_rate() const { return over_the_rate_; }  // requests refused for that
    const lab::StateStore& store() const { return store_; }

  private:
    struct Watch {
        std::string from, prefix;
        std::uint64_t since = 0;
        Nanos until{0};
        Answer answer;
    };
    bool fails(const std::string& node) const;
    void handle(Request request, Answer answer);
    void carry_out(const Request& request, Answer answer);
    void send_copies(const Request& request);
    bool rejects(const Request& request) const;
    void record_transaction(const Request& request, const lab::Answer& result);
    void changed();
    World& world_;
    lab::StateStore store_;
    std::map<std::string, Nanos> refused_;
    Nanos out_until_{0}, slow_until_{0}, slow_by_{0}, lost_until_{0}, copies_until_{0}, copies_latest_{0};
    std::uint64_t copies_one_in_ = 1, copies_carried_out_ = 0, lost_one_in_ = 1, writes_ = 0,
                  over_the_rate_ = 0, rejected_ = 0;
    std::optional<std::string> rejected_key_;
    bool lost_at_once_ = false;
    std::string lost_only_;
    std::optional<Nanos> late_after_;
    std::list<Watch> watches_;
};

class CloudServer {
  public:
    CloudServer(World& world, std::vector<wire::MachineType> types, lab::CloudLimits limits,
                std::uint64_t seed);
    // A machine comes up, or is taken back with all that is on it.
    std::function<void(const lab::CloudModel::Machine&)> on_boot;
    std::function<void(const std::string&)> on_return;
    void out(Nanos length) { out_until_ = world_.now() + length; }
    lab::CloudModel& model() { return model_; }
    void boot_due();

  private:
    Response handle(const Request& request);
    World& world_;
    lab::CloudModel model_;
    Nanos out_until_{0};
};

// `name=value` of a target's query.
std::string query(const std::string& target, const std::string& name);

}  // namespace barrowrun::sim

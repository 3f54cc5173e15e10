#pragma once
// What is true of a simulated site, and what its users were told. Every rule of the protocol is checked here,
// by its name; nothing here knows what the nodes think.
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/clock.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::sim {

class Checker {
  public:
    struct Limits {
        Nanos cancel{0};
        std::map<std::string, double> team_cpus;  // most at once
    };
    explicit Checker(Limits limits) : limits_(std::move(limits)) {}

    // Jobs as users mean to submit them. `sound`: it can run, and lacks nothing.
    void intend(const wire::JobSpec& spec, bool sound = true);
    const wire::JobSpec* spec(const std::string& id) const;

    // Workers' true states.
    struct Where {
        std::string machine, type, zone;
        bool spot = false;
    };
    void started(const Where& at, const wire::Attempt& a);
    // A worker carries out the launch of an attempt that it was told to reap.
    void launched_again(const Where& at, const wire::Attempt& a);
    void gone(const std::string& machine, const wire::Attempt& a);
    void finished(const wire::TaskId& task);
    std::function<void(const std::string& job)> on_last_task_done;

    // Users' questions, by when they were asked; status 0: no answer.
    enum class Asked { submit, status, cancel };
    void answered(Asked what, const std::string& id, Nanos asked, int status, const std::string& standing);
    // A cancellation was sent: nobody has any use for its tasks from here on.
    void cancel_sent(const std::string& id) { facts_[id].cancel_sent = true; }

    // Machines that could take work at this moment, with their room.
    struct Host {
        Where where;
        wire::Resources room;
    };
    // To be called every few seconds once the troubles are over: whose tasks wait, and could run somewhere.
    void look_for_waiting(const std::vector<Host>& hosts);

    void look();                    // now and then, and at the end
    void end(Nanos troubles_over);  // what must be known and answered by the end
    const std::vector<std::string>& broken() const { return broken_; }
    bool broke(const std::string& rule) const;
    std::size_t jobs_done() const { return jobs_done_; }  // whose last task has ended
    std::size_t done_tasks(const std::string& job) const;
    std::size_t starts() const { return starts_; }
    std::size_t started_after_cancel() const { return after_cancel_; }
    std::size_t confirmed() const { return confirmed_; }
    std::size_t launched_again() const { return launched_again_; }
    bool accepted(const std::string& id) const;
    bool over(const std::string& id) const;
    bool last_question_failed(const std::string& id) const;

  private:
    struct Facts {
        std::optional<wire::JobSpec> spec;
        bool sound = true, cancel_sent = false;
        std::set<std::uint32_t> done;
        std::optional<Nanos> accepted, told_done, told_cancelled;  // when the answer came
        std::optional<Nanos> unanswered;                           // since when every question has failed
        std::optional<Nanos> begun;                                // when its first task started
        std::optional<Nanos> could_run;  // since when a task of it has waited although a machine had room
    };
    using Job = std::pair<const std::string, Facts>;
    // Of a job that is wanted: how many of its tasks are neither done nor on a machine.
    std::size_t waiting_tasks(const Job& job) const;
    // Zones of the job's tasks that are on machines now.
    std::map<std::string, std::set<std::uint32_t>> zones_of(const std::string& job) const;
    bool allowed(const wire::JobSpec& spec, const Where& at) const;
    bool may_start(const Job& job, const std::vector<Host>& hosts) const;
    void check_served();
    void check_begun();
    void breaks(const std::string& rule, const std::string& what);
    Limits limits_;
    std::map<std::string, Facts> facts_;
    // By task: the attempts on machines.
    std::map<wire::TaskId, std::map<std::string, std::set<std::uint64_t>>> on_;
    std::map<std::string, Where> machines_;
    std::map<std::string, double> team_use_;
    std::vector<std::string> broken_;
    std::set<std::string> said_;
    std::size_t starts_ = 0, after_cancel_ = 0, confirmed_ = 0, jobs_done_ = 0, launched_again_ = 0;
};

}  // namespace barrowrun::sim

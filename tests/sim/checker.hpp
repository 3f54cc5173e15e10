#pragma once
// What is true of a simulated site, and what its users were told. Every rule of the protocol is checked here,
// by its name; nothing here knows what the nodes think.
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
    void gone(const std::string& machine, const wire::Attempt& a);
    void finished(const wire::TaskId& task);

    // Users' questions, by when they were asked; status 0: no answer.
    enum class Asked { submit, status, cancel };
    void answered(Asked what, const std::string& id, Nanos asked, int status, const std::string& standing);
    // A cancellation was sent: nobody has any use for its tasks from here on.
    void cancel_sent(const std::string& id) { facts_[id].cancel_sent = true; }

    void look();                    // now and then, and at the end
    void end(Nanos troubles_over);  // what must be known and answered by the end
    const std::vector<std::string>& broken() const { return broken_; }
    bool broke(const std::string& rule) const;
    std::size_t starts() const { return starts_; }
    std::size_t started_after_cancel() const { return after_cancel_; }
    std::size_t confirmed() const { return confirmed_; }
    bool accepted(const std::string& id) const;
    bool over(const std::string& id) const;

  private:
    struct Facts {
        std::optional<wire::JobSpec> spec;
        bool sound = true, cancel_sent = false;
        std::set<std::uint32_t> done;
        std::optional<Nanos> accepted, told_done, told_cancelled;  // when the answer came
        std::optional<Nanos> unanswered;                           // since when every question has failed
    };
    void breaks(const std::string& rule, const std::string& what);
    Limits limits_;
    std::map<std::string, Facts> facts_;
    // By task: the attempts on machines.
    std::map<wire::TaskId, std::map<std::string, std::set<std::uint64_t>>> on_;
    std::map<std::string, Where> machines_;
    std::map<std::string, double> team_use_;
    std::vector<std::string> broken_;
    std::set<std::string> said_;
    std::size_t starts_ = 0, after_cancel_ = 0, confirmed_ = 0;
};

}  // namespace barrowrun::sim

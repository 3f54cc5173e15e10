#pragma once
// The load balancer's choice of a node, and what users do.
#include "machines.hpp"

namespace site {

class Users {
  public:
    explicit Users(const Deployment& d) : d_(d), healthy_(d.controllers.size()) {
        for (std::size_t i = 0; i < d.controllers.size(); ++i)
            std::thread([this, i] { probe(i); }).detach();
    }
    std::size_t healthy() {
        std::lock_guard guard(lock);
        return static_cast<std::size_t>(std::count(healthy_.begin(), healthy_.end(), true));
    }
    // One request on a new connection to a healthy node; a refused connection moves on to another one.
    Answer ask(const std::string& method, const std::string& target, const json* body, double timeout_s) {
        for (int attempt = 0; attempt < 3; ++attempt) {
            std::vector<std::size_t> choice;
            {
                std::lock_guard guard(lock);
                for (std::size_t i = 0; i < healthy_.size(); ++i)
                    if (healthy_[i]) choice.push_back(i);
            }
            if (choice.empty()) return {};
            auto i = choice[static_cast<std::size_t>(random_between(0, 0.9999) * static_cast<double>(choice.size()))];
            Client client;
            Answer answer = client.call(d_.controllers[i].second, method, target, body, timeout_s, 0.5);
            record("user: %s %s at %s: %d %s", method.c_str(), target.c_str(), d_.controllers[i].first.c_str(), answer.status,
                   answer.body.empty() ? "" : answer.body.dump().substr(0, 160).c_str());
            if (answer.status != 0) return answer;
        }
        return {};
    }
    // Submits the job, as users do, for up to 60 s. True if it was accepted.
    bool submit(const std::string& id) {
        json spec;
        {
            std::lock_guard guard(lock);
            spec = jobs.at(id).spec;
        }
        record("user: submits %s", spec.dump().c_str());
        const auto until = Clock::now() + secs(60);
        while (Clock::now() < until) {
            Answer answer = ask("POST", "/submissions", &spec, 5);
            if (answer.status == 200 || answer.status == 201) {
                std::lock_guard guard(lock);
                jobs.at(id).accepted_at = now_s();
                return true;
            }
            if (answer.status == 400 || answer.status == 422) return false;
            sleep_s(std::clamp(answer.retry_after, 1.0, 30.0));
        }
        return false;
    }
    // Repeats the request to cancel until it is answered or the time is over; the answer's state, or nothing.
    std::string cancel(const std::string& id, TimePoint until) {
        const json body = json::object();
        while (Clock::now() < until) {
            Answer answer = ask("POST", "/submissions/" + id + "/cancel", &body, 5);
            if (answer.status == 200) {
                std::lock_guard guard(lock);
                jobs.at(id).cancelled_at = now_s();
                return answer.body.value("standing", "?");
            }
            sleep_s(std::clamp(answer.retry_after, 1.0, 30.0));
        }
        return "";
    }
    std::string standing(const std::string& id) {
        Answer answer = ask("GET", "/submissions/" + id, nullptr, 2);
        return answer.status == 200 ? answer.body.value("standing", "?") : "";
    }

  private:
    void probe(std::size_t i) {
        Client client;
        bool ever = false;
        int good = 0, bad = 0;
        for (;; sleep_s(1)) {
            const bool ok = client.call(d_.controllers[i].second, "GET", "/healthz", nullptr, 1).status == 200;
            good = ok ? good + 1 : 0;
            bad = ok ? 0 : bad + 1;
            std::lock_guard guard(lock);
            if (bad >= 2) healthy_[i] = false;
            if (good >= (ever ? 2 : 1)) healthy_[i] = ever = true;
        }
    }
    const Deployment& d_;
    std::vector<bool> healthy_;
};

}  // namespace site

#include "net/connection_limiter.hpp"

#include <algorithm>

#include "wire/numbers.hpp"

namespace barrowrun::net {
namespace {
std::size_t part(std::size_t of, double share) {
    return std::max<std::size_t>(1, wire::to_integer_saturated<std::size_t>(static_cast<double>(of) * share));
}
}  // namespace

ConnectionLimiter::ConnectionLimiter(std::size_t most, double user_share, double address_share)
    : most_(std::max<std::size_t>(1, most)),
      most_users_(part(most_, user_share)),
      most_per_address_(part(most_, address_share)) {}

std::list<ConnectionLimiter::Id>* ConnectionLimiter::line(Entry& e) {
    if (e.stage == Stage::unproven) return &addresses_[e.address].unproven;
    if (e.stage == Stage::idle) return e.caller == Caller::user ? &idle_users_ : &idle_system_;
    return nullptr;
}

void ConnectionLimiter::enter(Id id, Entry& e, Stage stage) {
    e.stage = stage;
    if (auto* l = line(e)) e.place = l->insert(l->end(), id);
}

void ConnectionLimiter::leave(Id, Entry& e) {
    if (auto* l = line(e)) l->erase(e.place);
}

std::optional<ConnectionLimiter::Id> ConnectionLimiter::victim(const std::string* only) const {
    if (only) {
        auto it = addresses_.find(*only);
        if (it != addresses_.end() && !it->second.unproven.empty()) return it->second.unproven.front();
        for (auto* l : {&idle_users_, &idle_system_})
            for (auto id : *l)
                if (all_.at(id).address == *only) return id;
        return std::nullopt;
    }
    const Address* most = nullptr;
    for (auto& [name, a] : addresses_)
        if (!a.unproven.empty() && (!most || a.unproven.size() > most->unproven.size())) most = &a;
    if (most) return most->unproven.front();
    if (!idle_users_.empty()) return idle_users_.front();
    if (!idle_system_.empty()) return idle_system_.front();
    return std::nullopt;
}

ConnectionLimiter::Arrival ConnectionLimiter::arrive(const std::string& address) {
    Arrival out;
    auto known = addresses_.find(address);
    if (known != addresses_.end() && known->second.open >= most_per_address_) {
        out.evict = victim(&address);
        if (!out.evict) return out;
    } else if (all_.size() >= most_) {
        out.evict = victim(nullptr);
        if (!out.evict) return out;
    }
    if (out.evict) left(*out.evict);
    out.id = ++last_;
    auto& e = all_[*out.id];
    e.address = address;
    addresses_[address].open++;
    enter(*out.id, e, Stage::unproven);
    return out;
}

ConnectionLimiter::Verdict ConnectionLimiter::request(Id id, Caller caller) {
    auto it = all_.find(id);
    if (it == all_.end())
        return {};  // evicted while its request was being read: it is still answered, then closed
    auto& e = it->second;
    leave(id, e);
    users_ -= e.caller == Caller::user;
    e.caller = caller;
    users_ += e.caller == Caller::user;
    enter(id, e, Stage::served);
    Verdict out;
    if (caller != Caller::user || users_ <= most_users_) return out;
    // Users are over their share: an idle user's connection is evicted, or this request is refused if none is
    // idle.
    out.serve = !idle_users_.empty();
    if (out.serve) {
        out.evict = idle_users_.front();
        left(*out.evict);
    }
    return out;
}

void ConnectionLimiter::answered(Id id) {
    auto it = all_.find(id);
    if (it == all_.end()) return;
    leave(id, it->second);
    enter(id, it->second, Stage::idle);
}

void ConnectionLimiter::left(Id id) {
    auto it = all_.find(id);
    if (it == all_.end()) return;
    auto& e = it->second;
    leave(id, e);
    users_ -= e.caller == Caller::user;
    auto a = addresses_.find(e.address);
    if (--a->second.open == 0) addresses_.erase(a);
    all_.erase(it);
}

}  // namespace barrowrun::net

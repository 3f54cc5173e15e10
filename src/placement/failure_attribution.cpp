#include "placement/failure_attribution.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::placement::failure_attribution {

void record_success(fleet::Machine& m) {
    m.successes++;
    m.errors = m.attributed_errors = 0;
}

void record_failure(fleet::Machine& m, bool job_proven, TimePoint now) {
    m.errors++;
    m.last_error = now;
    // A few of these once held a whole urgent array back: the task goes elsewhere at once.
    if (job_proven) m.attributed_errors++;
}

bool may_take_work(const fleet::Machine& m, bool replica, bool failed_here, TimePoint now) {
    if (m.errors == 0 || now - m.last_error > quarantine_time) return true;
    if (replica || (m.attributed_errors > 0 && failed_here)) return false;
    return std::none_of(m.assignments.begin(), m.assignments.end(),
                        [&](auto& kv) { return !kv.second.exited() && kv.second.placed_at >= m.last_error; });
}

void update_quarantine(fleet::Machine& m, TimePoint now, const std::function<bool()>& speaks_against) {
    if (m.quarantined_since && now - *m.quarantined_since > quarantine_time && m.live() > 0) {
        // What held it may be over, and what runs on it keeps it rented: one trial.
        m.quarantined_since.reset();
        m.errors = 1;
        m.attributed_errors = 0;
    }
    if (m.quarantined_since || m.draining || m.errors < 2) return;
    bool faulty = m.attributed_errors >= 2;
    if (!faulty && m.errors >= 3) {
        // Jobs that failed on few machines speak against it; one that fails wherever it goes does not. Each
        // job counts for itself: many faulty machines once shielded one another.
        faulty = speaks_against();
        if (!faulty) m.errors = 0;
    }
    if (!faulty) return;
    spdlog::warn("machine {} fails its tasks ({} in a row): it gets no more, and is returned when empty",
                 m.name, m.errors);
    m.quarantined_since = now;
}

}  // namespace barrowrun::placement::failure_attribution

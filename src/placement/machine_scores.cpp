#include "placement/machine_scores.hpp"

namespace barrowrun::placement::machine_scores {
namespace {
// Fetch time weighs more for service replicas: users wait for their start, array tasks only share a queue.
constexpr double service_fetch_weight = 10;
// Share of the fetch time that remains, on average, for an image that is already being fetched.
constexpr double remaining_fetch_share = 0.5;
// Jobs that may use spot instances prefer them and leave other machines to jobs that may not. The bonus is
// smaller for a gang, which loses all of its work with a single machine.
constexpr double spot_bonus = 8, gang_spot_bonus = 2;
// Large enough to rank a machine on which the job has failed below any other.
constexpr double failed_before_penalty = 1000;
// For each consecutive failure, and for each multiple of the usual run time above the first.
constexpr double error_penalty = 20, slowness_penalty = 30;
// Prefers the tightest fit, which keeps other machines free for large tasks; smaller than all terms above.
constexpr double free_share_penalty = 3;
}  // namespace

double image_fetch_s(const fleet::Machine& machine, const wire::JobSpec& spec) {
    return spec.image_gb / machine.fetch_gb_per_s;
}

double for_task(const fleet::Machine& machine, const wire::JobSpec& spec, const wire::Resources& available,
                bool failed_before) {
    double score = 0;
    const double fetch_s = machine.has_image(spec.image) ? 0
                           : machine.fetching(spec.image)
                               ? remaining_fetch_share * spec.image_gb / machine.fetch_gb_per_s
                               : image_fetch_s(machine, spec);
    score -= fetch_s * (spec.kind == wire::JobKind::service ? service_fetch_weight : 1.0);
    if (spec.spot_ok && machine.spot) score += spot_bonus;
    if (failed_before) score -= failed_before_penalty;
    score -= machine.errors * error_penalty;
    score -= (machine.slowness - 1.0) * slowness_penalty;
    if (machine.capacity.cpus > 0)
        score -= free_share_penalty * (available.cpus - spec.need.cpus) / machine.capacity.cpus;
    return score;
}

double for_gang_task(const fleet::Machine& machine, const wire::JobSpec& spec, bool failed_before) {
    return (machine.has_image(spec.image) ? 0 : -image_fetch_s(machine, spec)) -
           (failed_before ? failed_before_penalty : 0) - machine.errors * error_penalty +
           (machine.spot ? gang_spot_bonus : 0);
}

}  // namespace barrowrun::placement::machine_scores

#pragma once
// Faults of a simulated site, one function each, as the users' bench names them.
#include "sim/site.hpp"

namespace barrowrun::sim {

// Runs the site until the condition holds, for so long at most. False: it did not come about.
[[nodiscard]] bool run_until(Site& site, Nanos most, const std::function<bool()>& condition);

// A length of time between the two, in whole milliseconds, by the site's own random numbers.
Nanos draw(Site& site, double least_s, double most_s);

// No message passes between the machine and any node.
void cut_machine(Site& site, const std::string& machine, Nanos length, Fault::Kind kind = Fault::Kind::drop);
// The machine's reports arrive; answers and direct commands to it are lost.
void deafen_machine(Site& site, const std::string& machine, Nanos length);
// The machine reaches no node, while direct commands reach it and are answered.
void mute_machine(Site& site, const std::string& machine, Nanos length);

// From whom a node is cut off.
struct CutFrom {
    bool state = false, peers = false, workers = false, users = false;
};
void cut_node(Site& site, std::size_t node, CutFrom from, Nanos length, Fault::Kind kind = Fault::Kind::drop);
// A zone with its machines and nodes is cut off from everything outside.
void cut_zone(Site& site, const std::string& zone, Nanos length, Fault::Kind kind = Fault::Kind::drop);

// All nodes end; the first is back after so long, the others a second apart.
void end_all_nodes(Site& site, Nanos first_back_after);
// Users call off so many of the running jobs within a fifth of a second; up to eight of their machines hang.
void cancel_now(Site& site, std::size_t count, Nanos hang = Nanos{0});
// Copies of one in so many reports arrive again, at every node, after 2 s to well over a lease.
void repeat_reports(Site& site, std::uint64_t one_in, Nanos length);
// So many of the machine's earlier heartbeats arrive again, at every node, a moment apart: of any of its
// agent epochs, mostly in the order in which they were sent.
void deliver_old_reports(Site& site, const Worker& worker, std::size_t count);
// Direct commands to all machines: one in so many is carried out late, and not answered.
void delay_commands(Site& site, std::uint64_t one_in, Nanos length);
// Copies of direct commands that were carried out and answered arrive later, up to `latest` after them.
void copy_commands(Site& site, std::uint64_t one_in, Nanos length, Nanos latest);
// Tasks fail on all machines, one in so many, soon after they began.
void fail_tasks(Site& site, std::uint64_t one_in, Nanos length);
// Users repeat submissions, cancel what is over, and send jobs that can't run or lack a field.
void odd_requests(Site& site, Nanos length);

}  // namespace barrowrun::sim

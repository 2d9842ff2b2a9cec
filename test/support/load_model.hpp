#ifndef BRIARFIELD_TEST_SUPPORT_LOAD_MODEL_HPP
#define BRIARFIELD_TEST_SUPPORT_LOAD_MODEL_HPP

#include "../../bench/server_model.hpp"

#include "briarfield/dispatch/flow_dispatcher.hpp"
#include "briarfield/dispatch/server_gate.hpp"

#include <memory>
#include <vector>

namespace briarfield::test
{

/// Requests of one route.
struct request_kind
{
    double flows_per_s = 100;  ///< New callers, each with a flow of its own.
    double service_s = 0.05;   ///< Mean time of a request in a slot.
    double aim_s = 0.3;        ///< Time within which callers want an answer.
    double timeout_s = 1e9;    ///< Time after which an answer is worth nothing.
    std::uint8_t priority = 0; ///< Of the route.
    unsigned requests_per_flow = 4;
};

/// Size and load of a simulated deployment.
struct load_options
{
    std::size_t balancers = 6;
    std::size_t servers = 12;
    unsigned slots = 4;           ///< Requests that a server processes at once.
    std::size_t queue_limit = 16; ///< Requests that wait; others are rejected.
    double service_s = 0.05;      ///< Mean time of a request in a slot.
    double aim_s = 0.3;           ///< Time within which callers want an answer.
    double link_s = 0.0015;       ///< One way between any two processes.
    double flows_per_s = 100;     ///< New callers, each with a flow of its own.
    unsigned requests_per_flow = 4;
    double pause_s = 0.5; ///< Mean time between two requests of a flow.
    unsigned retries = 2; ///< Of requests that have not run.
    std::uint64_t seed = 1;
    /// If empty, there is one kind of requests, as described above.
    std::vector<request_kind> kinds;
    /// Speeds of the servers, repeated in this order; if empty, all are 1.
    std::vector<double> speeds;
    double long_share = 0; ///< Of the requests; they take ten times as long.
    flow_dispatcher::options dispatch;
    placement_policy place = place_by_load();
};

/// What became of the requests of callers.
struct load_outcome
{
    std::size_t asked = 0;
    std::size_t in_aim = 0;
    std::size_t late = 0;
    std::size_t expired = 0;  ///< Answered after the timeout.
    std::size_t rejected = 0; ///< Not run, after all retries.
    std::size_t failed = 0;   ///< Ended without an answer; not repeated.
};

/// Plays callers, balancers, agents and servers on a manual clock, with the
/// real decisions of balancers and agents, and counts what callers get.
///
/// Callers arrive at random. Each opens a flow through a random balancer and
/// sends requests on it that may run only once: a caller repeats a request, on
/// a new flow, only if it has not run.
class load_model
{
public:
    explicit load_model(const load_options& options);

    void run(double seconds);

    void set_flows_per_s(double rate, std::size_t kind = 0)
    {
        options_.kinds[kind].flows_per_s = rate;
    }

    /// Lets this many callers of a kind come now.
    void add_callers(std::size_t count, std::size_t kind);

    /// Makes each request on server \a i take \a factor times as long.
    void set_work_factor(std::size_t i, double factor);

    /// Makes all servers cold: each request takes 1.6 times as long for \a
    /// seconds.
    void restart_servers(double seconds);

    /// Makes server \a i accept flows and end each at its first request.
    void set_failing(std::size_t i, bool failing)
    {
        servers_[i].failing = failing;
    }

    /// Requests since \ref start_window.
    const load_outcome& outcome(std::size_t kind = 0) const
    {
        return outcomes_[kind];
    }
    void start_window() { outcomes_.assign(outcomes_.size(), {}); }

    /// Openings that have reached server \a i.
    std::size_t openings(std::size_t i) const { return servers_[i].openings; }

    /// Requests that server \a i has answered.
    std::size_t answered(std::size_t i) const { return servers_[i].answered; }

    /// Largest and smallest number of requests at a server now.
    std::size_t most_requests() const;
    std::size_t fewest_requests() const;

private:
    struct balancer
    {
        endpoint relay;
        std::unique_ptr<agent_directory> agents;
        std::unique_ptr<flow_dispatcher> dispatcher;
    };

    struct server
    {
        endpoint relay;
        std::unique_ptr<server_registration> registration;
        std::unique_ptr<server_gate> gate;
        std::unique_ptr<bench::server_model> work;
        std::uint64_t sequence = 0;
        std::size_t openings = 0;
        std::size_t answered = 0;
        double speed = 1;
        time_point warm_at{};
        bool failing = false;
    };

    /// A caller; each of its attempts at a request uses a flow of its own.
    struct caller
    {
        flow_key key;
        std::size_t kind = 0;
        std::size_t via = 0; ///< Balancer.
        unsigned requests_left = 0;
        unsigned retries_left = 0;
        time_point asked{};
        bool open = false;
    };
    using caller_ref = std::shared_ptr<caller>;

    dispatch_route route_of(std::size_t kind) const;
    void add_balancer();
    void add_server();
    void send_heartbeat(std::size_t i);
    void schedule_arrival(std::size_t kind);
    void open_flow(const caller_ref& c);
    void ask(const caller_ref& c);
    void send_request(const caller_ref& c);
    void finish(const caller_ref& c);
    void retry(const caller_ref& c);
    void fail(const caller_ref& c);

    void to_balancer(const caller_ref& c, packet_kind kind, std::uint16_t size);
    void execute(const caller_ref& c,
                 const flow_packet& p,
                 const dispatch_verdict& v);
    void to_agent(const caller_ref& c,
                  const flow_packet& p,
                  std::size_t i,
                  forward_info info);
    void to_server(const caller_ref& c, const flow_packet& p, std::size_t i);
    void serve(const caller_ref& c, const flow_packet& p, std::size_t i);
    void answer(const caller_ref& c, flow_packet p, std::size_t i);
    std::size_t server_at(const endpoint& relay) const;

    load_options options_;
    manual_clock clock_;
    bench::event_queue events_{clock_};
    random_source random_;
    route_table routes_;
    std::vector<balancer> balancers_;
    std::vector<server> servers_;
    std::vector<load_outcome> outcomes_;
    std::uint32_t last_port_ = 0;
};

} // namespace briarfield::test

#endif

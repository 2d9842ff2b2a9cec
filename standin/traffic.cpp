#include "standin.hpp"

#include "briarfield/core/random.hpp"
#include "briarfield/flow/flow_table.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/http_client.hpp"
#include "briarfield/net/udp_socket.hpp"

#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <unordered_map>

namespace briarfield::standin
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick = 50ms;
constexpr duration retransmit_after = 300ms;
constexpr duration answer_limit = 8s;
constexpr duration health_interval = 250ms;
constexpr std::uint32_t caller_sequence = 5000;
constexpr unsigned short_flow_requests = 3;
constexpr std::uint16_t short_flow_port = 30000; ///< First source port.
constexpr duration closing_time =
    2s; ///< No short flow opens this close to the end.

enum class caller_state
{
    connecting,
    waiting, ///< Waits for the answer to a request.
    idle,    ///< Between two requests.
    done,    ///< A short flow that has completed.
    refused, ///< Reset before it was open; no request was executed.
    broken   ///< Failed; see \ref caller::fault.
};

/// A caller with one flow: repeatedly sends a request, checks the answer and
/// waits.
struct caller
{
    flow_key key;
    caller_state state = caller_state::connecting;
    std::uint32_t next = caller_sequence;
    std::uint32_t expected = 0;
    unsigned answered = 0;
    std::string server;
    std::string request;
    std::string fault;  ///< Why the flow is broken.
    time_point started; ///< Of the connection attempt or the request.
    time_point sent;
    time_point next_request;
    unsigned requests = 0; ///< Flow ends after this many; 0: never.
};

/// The fabric: sends each packet to a random balancer whose /readyz succeeds.
class fabric
{
public:
    fabric(event_loop& loop, const traffic_options& options)
        : loop_(&loop), random_(options.seed)
    {
        for (const fabric_member& m : options.members)
            members_.push_back({m, std::make_unique<http_client>(
                                       loop, client_options(m.http))});
    }

    void start(udp_socket& socket)
    {
        socket_ = &socket;
        poll();
    }

    bool any_ready() const
    {
        for (const member& m : members_)
            if (m.ready)
                return true;
        return false;
    }

    void send(const std::vector<std::uint8_t>& packet)
    {
        std::vector<const member*> ready;
        for (const member& m : members_)
            if (m.ready)
                ready.push_back(&m);
        if (ready.empty())
            return;
        const member& chosen = *ready[random_.below(ready.size())];
        socket_->queue_copy(chosen.addresses.fabric,
                            {packet.data(), packet.size()});
    }

private:
    struct member
    {
        fabric_member addresses;
        std::unique_ptr<http_client> client;
        bool ready = false;
    };

    static http_client::options client_options(const endpoint& http)
    {
        http_client::options o;
        o.host = http.address.to_string();
        o.port = http.port;
        return o;
    }

    void poll()
    {
        for (member& m : members_)
        {
            http_request request;
            request.path = "/readyz";
            request.timeout = 1s;
            m.client->start(
                std::move(request), [&m](result<http_response> answer)
                { m.ready = answer && answer.value().status == 200; });
        }
        loop_->timers().schedule(health_interval, [this] { poll(); });
    }

    event_loop* loop_;
    random_source random_;
    std::vector<member> members_;
    udp_socket* socket_ = nullptr;
};

class traffic
{
public:
    traffic(event_loop& loop, const traffic_options& options)
        : loop_(&loop), options_(options), fabric_(loop, options)
    {
    }

    result<void> start()
    {
        auto socket = udp_socket::create(
            *loop_, options_.listen,
            [this](byte_span packet, const endpoint&) { receive(packet); });
        if (!socket)
            return fail(socket.error().code, socket.error().detail);
        socket_ = std::move(socket.value());
        fabric_.start(*socket_);
        make_callers();
        end_ = loop_->timers().now() + std::chrono::seconds(options_.seconds);
        step();
        return ok();
    }

    int report() const
    {
        std::map<std::string, unsigned> by_server;
        std::map<std::string, unsigned> faults;
        unsigned broken = 0;
        unsigned refused = 0;
        unsigned ended = 0;
        std::uint64_t answers = 0;
        for (const auto& [key, c] : callers_)
        {
            answers += c.answered;
            refused += c.state == caller_state::refused ? 1 : 0;
            ended += c.state == caller_state::done ? 1 : 0;
            if (c.state == caller_state::refused)
                continue;
            if (c.state == caller_state::broken || c.answered == 0)
            {
                ++broken;
                const bool tcp = c.key.protocol == transport::tcp;
                ++faults[std::string(tcp ? "tcp, " : "udp, ") +
                         (c.fault.empty() ? "never answered" : c.fault)];
            }
            else
            {
                ++by_server[c.server];
            }
        }
        for (const auto& [server, flows] : by_server)
            std::printf("server %s: %u flows\n", server.c_str(), flows);
        for (const auto& [fault, flows] : faults)
            std::printf("fault %s: %u flows\n", fault.c_str(), flows);
        std::printf("flows: %zu\n", callers_.size());
        std::printf("short flows that ended well: %u\n", ended);
        std::printf("refused flows: %u\n", refused);
        std::printf("answers: %llu\n",
                    static_cast<unsigned long long>(answers));
        std::printf("broken flows: %u\n", broken);
        return broken == 0 ? 0 : 1;
    }

private:
    void make_callers()
    {
        for (unsigned i = 0; i < options_.flows; ++i)
            make_caller(i, 10000, 0);
    }

    void make_caller(unsigned i, std::uint16_t first_port, unsigned requests)
    {
        constexpr unsigned hosts = 250;
        const std::uint8_t source[4] = {
            203, 0, 113, static_cast<std::uint8_t>(i % hosts + 1)};
        const caller_target& to = options_.targets[i % options_.targets.size()];
        caller c;
        c.key.source = ip_address::from_v4(source);
        c.key.source_port = static_cast<std::uint16_t>(first_port + i / hosts);
        c.key.destination = to.destination.address;
        c.key.destination_port = to.destination.port;
        c.key.protocol = to.protocol;
        c.requests = requests;
        callers_.emplace(c.key, std::move(c));
    }

    /// Opens the short flows that are due by \a now.
    void open_short_flows(time_point now)
    {
        if (started_ == time_point{})
            started_ = now;
        if (now + closing_time >= end_)
            return;
        const double age =
            std::chrono::duration<double>(now - started_).count();
        const auto due = static_cast<unsigned>(age * options_.opens_per_second);
        for (; opened_ < due; ++opened_)
            make_caller(opened_, short_flow_port, short_flow_requests);
    }

    void step()
    {
        const time_point now = loop_->timers().now();
        if (now >= end_)
            return loop_->stop();
        if (fabric_.any_ready())
        {
            open_short_flows(now);
            for (auto& [key, c] : callers_)
                step_caller(c, now);
        }
        socket_->flush();
        loop_->timers().schedule(tick, [this] { step(); });
    }

    void step_caller(caller& c, time_point now)
    {
        switch (c.state)
        {
        case caller_state::connecting:
            if (c.started == time_point{})
                c.started = now;
            if (now - c.started > answer_limit)
                return break_flow(c, "no connection");
            if (c.key.protocol == transport::udp)
                return start_request(c, now);
            if (now - c.sent >= retransmit_after)
                send_syn(c, now);
            return;
        case caller_state::idle:
            if (now >= c.next_request)
                start_request(c, now);
            return;
        case caller_state::waiting:
            if (now - c.started > answer_limit)
                return break_flow(c, "no answer");
            if (now - c.sent >= retransmit_after)
                send_request(c, now);
            return;
        case caller_state::done:
        case caller_state::refused:
        case caller_state::broken:
            return;
        }
    }

    void send_syn(caller& c, time_point now)
    {
        c.sent = now;
        fabric_.send(build_tcp_packet({c.key, c.next, 0, tcp_flags::syn, {}}));
    }

    void start_request(caller& c, time_point now)
    {
        c.request = "request " + std::to_string(c.answered + 1);
        c.started = now;
        c.state = caller_state::waiting;
        send_request(c, now);
    }

    void send_request(caller& c, time_point now)
    {
        c.sent = now;
        const const_byte_span payload(
            reinterpret_cast<const std::uint8_t*>(c.request.data()),
            c.request.size());
        if (c.key.protocol == transport::udp)
            return fabric_.send(build_udp_packet(c.key, payload));
        fabric_.send(
            build_tcp_packet({c.key, c.next, c.expected,
                              tcp_flags::psh | tcp_flags::ack, payload}));
    }

    void receive(byte_span packet)
    {
        ip_packet_view view;
        if (parse_ip_packet(packet, view) != errc::ok)
            return;
        const auto found = callers_.find(view.key.reversed());
        if (found == callers_.end())
            return;
        caller& c = found->second;
        if (c.state == caller_state::broken || c.state == caller_state::done)
            return;
        if ((view.tcp_bits & tcp_flags::rst) != 0)
            return on_reset(c);
        const std::string payload(reinterpret_cast<const char*>(packet.data()) +
                                      view.payload_offset,
                                  view.total_length - view.payload_offset);
        if (c.state == caller_state::connecting &&
            (view.tcp_bits & tcp_flags::syn) != 0)
        {
            c.next += 1;
            c.expected = view.tcp_sequence + 1;
            return start_request(c, loop_->timers().now());
        }
        if (c.state == caller_state::waiting && !payload.empty())
            return on_answer(c, view, payload);
        const bool probe = c.key.protocol == transport::tcp &&
                           c.state != caller_state::connecting &&
                           payload.empty() && view.tcp_sequence != c.expected;
        if (probe)
            fabric_.send(build_tcp_packet(
                {c.key, c.next, c.expected, tcp_flags::ack, {}}));
    }

    void
    on_answer(caller& c, const ip_packet_view& view, const std::string& payload)
    {
        const bool tcp = c.key.protocol == transport::tcp;
        if (tcp && view.tcp_sequence != c.expected)
            return; // A retransmission of an answer already processed.
        const std::string number = std::to_string(c.answered + 1);
        const std::string expected_text = tcp ? number : "request " + number;
        const auto space = payload.find(' ');
        const std::string server = payload.substr(0, space);
        if (!tcp && payload.substr(space + 1) != expected_text)
            return; // The answer to an earlier datagram.
        if (tcp && payload.substr(space + 1) != expected_text)
            return break_flow(c, "request executed twice or lost");
        if (!c.server.empty() && c.server != server)
            return break_flow(c, "changed backend server from " + c.server +
                                     " to " + server + " after " + number);
        c.server = server;
        ++c.answered;
        if (tcp)
        {
            c.next += static_cast<std::uint32_t>(c.request.size());
            c.expected += static_cast<std::uint32_t>(payload.size());
        }
        c.state = caller_state::idle;
        c.next_request = loop_->timers().now() +
                         std::chrono::milliseconds(options_.interval_ms);
        if (c.requests != 0 && c.answered == c.requests)
            end_flow(c);
    }

    void end_flow(caller& c)
    {
        c.state = caller_state::done;
        if (c.key.protocol == transport::tcp)
            fabric_.send(build_tcp_packet({c.key,
                                           c.next,
                                           c.expected,
                                           tcp_flags::fin | tcp_flags::ack,
                                           {}}));
    }

    static void on_reset(caller& c)
    {
        if (c.state == caller_state::connecting)
            c.state = caller_state::refused;
        else
            break_flow(c, "reset");
    }

    static void break_flow(caller& c, std::string fault)
    {
        c.state = caller_state::broken;
        c.fault = std::move(fault);
    }

    event_loop* loop_;
    traffic_options options_;
    fabric fabric_;
    std::unique_ptr<udp_socket> socket_;
    std::unordered_map<flow_key, caller, flow_key_hash> callers_;
    time_point started_;
    time_point end_;
    unsigned opened_ = 0; ///< Short flows opened.
};

} // namespace

int run_traffic(const traffic_options& options)
{
    if (options.targets.empty() || options.members.empty())
    {
        std::cerr << "traffic needs --members and --targets\n";
        return 2;
    }
    const steady_clock clock;
    auto loop = event_loop::create(clock);
    if (!loop)
        return 1;
    traffic t(*loop.value(), options);
    auto started = t.start();
    if (!started)
    {
        std::cerr << started.error().message() << "\n";
        return 1;
    }
    (void)loop.value()->watch_signals({SIGTERM, SIGINT},
                                      [&](int) { loop.value()->stop(); });
    loop.value()->run();
    return t.report();
}

} // namespace briarfield::standin

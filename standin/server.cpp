#include "standin.hpp"

#include "briarfield/flow/flow_table.hpp"
#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/udp_socket.hpp"

#include <csignal>
#include <iostream>
#include <unordered_map>

namespace briarfield::standin
{

namespace
{

/// State of a TCP connection; supports requests that fit in one segment.
struct connection
{
    std::uint32_t expected = 0; ///< Next sequence number of the caller.
    std::uint32_t next = 0;     ///< Next sequence number of the server.
    unsigned executed = 0;      ///< Requests executed on this connection.
    std::string last_answer;
    std::uint32_t last_answer_sequence = 0;
};

/// Replies to each TCP request with "NAME COUNT" and to each datagram with
/// "NAME DATAGRAM". A retransmitted TCP request is not executed again.
class server
{
public:
    explicit server(std::string name) : name_(std::move(name)) {}

    std::vector<std::uint8_t> handle(const_byte_span packet)
    {
        ip_packet_view view;
        if (parse_ip_packet(packet, view) != errc::ok ||
            !transport_checksum_valid(packet, view))
            return {};
        const_byte_span payload(packet.data() + view.payload_offset,
                                view.total_length - view.payload_offset);
        return view.key.protocol == transport::udp ? handle_udp(view, payload)
                                                   : handle_tcp(view, payload);
    }

private:
    std::vector<std::uint8_t> handle_udp(const ip_packet_view& view,
                                         const_byte_span payload) const
    {
        const std::string answer = name_ + " " + text(payload);
        return build_udp_packet(view.key.reversed(), bytes(answer));
    }

    std::vector<std::uint8_t> handle_tcp(const ip_packet_view& view,
                                         const_byte_span payload)
    {
        const auto found = connections_.find(view.key);
        if ((view.tcp_bits & tcp_flags::rst) != 0)
        {
            connections_.erase(view.key);
            return {};
        }
        if (view.may_open())
            return open(view);
        if (found == connections_.end())
            return build_tcp_reset({}, view);
        connection& c = found->second;
        if ((view.tcp_bits & tcp_flags::fin) != 0)
            return close(view, c);
        if (payload.empty()) // Outside the window: a probe, acknowledged.
            return view.tcp_sequence == c.expected ? std::vector<std::uint8_t>{}
                                                   : acknowledgment(view, c);
        if (view.tcp_sequence == c.expected)
            execute(c, payload.size());
        return segment(view, c, c.last_answer_sequence, c.last_answer);
    }

    std::vector<std::uint8_t> open(const ip_packet_view& view)
    {
        auto [position, inserted] = connections_.try_emplace(view.key);
        connection& c = position->second;
        if (inserted)
        {
            c.expected = view.tcp_sequence + 1;
            c.next = first_sequence + 1;
        }
        return build_tcp_packet({view.key.reversed(),
                                 first_sequence,
                                 c.expected,
                                 tcp_flags::syn | tcp_flags::ack,
                                 {}});
    }

    std::vector<std::uint8_t> close(const ip_packet_view& view, connection& c)
    {
        auto answer = build_tcp_packet({view.key.reversed(),
                                        c.next,
                                        view.tcp_sequence + 1,
                                        tcp_flags::fin | tcp_flags::ack,
                                        {}});
        connections_.erase(view.key);
        return answer;
    }

    void execute(connection& c, std::size_t request_size)
    {
        c.expected += static_cast<std::uint32_t>(request_size);
        ++c.executed;
        c.last_answer = name_ + " " + std::to_string(c.executed);
        c.last_answer_sequence = c.next;
        c.next += static_cast<std::uint32_t>(c.last_answer.size());
    }

    static std::vector<std::uint8_t> segment(const ip_packet_view& view,
                                             const connection& c,
                                             std::uint32_t sequence,
                                             const std::string& payload)
    {
        return build_tcp_packet({view.key.reversed(), sequence, c.expected,
                                 tcp_flags::psh | tcp_flags::ack,
                                 bytes(payload)});
    }

    static std::vector<std::uint8_t> acknowledgment(const ip_packet_view& view,
                                                    const connection& c)
    {
        return build_tcp_packet(
            {view.key.reversed(), c.next, c.expected, tcp_flags::ack, {}});
    }

    static std::string text(const_byte_span b)
    {
        return {reinterpret_cast<const char*>(b.data()), b.size()};
    }

    static const_byte_span bytes(const std::string& s)
    {
        return {reinterpret_cast<const std::uint8_t*>(s.data()), s.size()};
    }

    static constexpr std::uint32_t first_sequence = 1000;

    std::string name_;
    std::unordered_map<flow_key, connection, flow_key_hash> connections_;
};

} // namespace

int run_server(const server_options& options)
{
    const steady_clock clock;
    auto loop = event_loop::create(clock);
    if (!loop)
        return 1;
    server s(options.name);
    std::unique_ptr<udp_socket> socket;
    auto made = udp_socket::create(
        *loop.value(), options.listen,
        [&](byte_span packet, const endpoint& from)
        {
            const std::vector<std::uint8_t> answer = s.handle(packet);
            if (!answer.empty())
                socket->queue_copy(from, {answer.data(), answer.size()});
        });
    if (!made)
    {
        std::cerr << made.error().message() << "\n";
        return 1;
    }
    socket = std::move(made.value());
    (void)loop.value()->watch_signals({SIGTERM, SIGINT},
                                      [&](int) { loop.value()->stop(); });
    loop.value()->run();
    return 0;
}

} // namespace briarfield::standin

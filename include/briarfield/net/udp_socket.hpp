#ifndef BRIARFIELD_NET_UDP_SOCKET_HPP
#define BRIARFIELD_NET_UDP_SOCKET_HPP

#include "briarfield/core/byte_span.hpp"
#include "briarfield/core/endpoint.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/net/event_loop.hpp"

#include <functional>
#include <memory>

namespace briarfield
{

/// \brief A UDP socket that receives and sends in batches.
///
/// Received datagrams are stored in a fixed buffer with free space in front of
/// each, so that a header can be prepended in place. \ref queue queues
/// datagrams and \ref flush sends them; it is called automatically after each
/// received batch.
class udp_socket
{
public:
    /// \brief Writable bytes in front of each received datagram.
    static constexpr std::size_t headroom = 256;

    /// \brief Called for each received datagram.
    ///
    /// The bytes stay valid until the flush that follows the batch, so they may
    /// be passed to \ref queue.
    using handler = std::function<void(byte_span, const endpoint& from)>;

    /// \brief One received datagram of a batch.
    struct datagram
    {
        byte_span bytes;
        endpoint from;
    };

    /// \brief Maximum number of datagrams in a batch.
    static constexpr std::size_t max_batch = 64;

    /// \brief Maximum size of a datagram on the data path, in bytes.
    static constexpr std::size_t packet_limit = 2048;

    /// \brief Maximum size of any datagram, in bytes (RFC 768 over IPv4).
    static constexpr std::size_t datagram_limit = 65507;

    /// \brief Called for each received batch; the bytes stay valid as for
    /// \ref handler.
    using batch_handler = std::function<void(const datagram*, std::size_t)>;

    /// \brief Binds to \a local_address; port 0 selects any free port.
    ///
    /// Received datagrams longer than \a max_size bytes are dropped and counted
    /// in \ref oversized.
    /// Errors: errc::address_in_use, errc::socket_failed, errc::loop_failed.
    static result<std::unique_ptr<udp_socket>>
    create(event_loop& loop,
           const endpoint& local_address,
           handler on_datagram,
           std::size_t max_size = packet_limit);

    /// \brief Like \ref create, but passes whole batches to the handler.
    static result<std::unique_ptr<udp_socket>>
    create_batched(event_loop& loop,
                   const endpoint& local_address,
                   batch_handler on_batch,
                   std::size_t max_size = packet_limit);

    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// \brief Queues \a bytes for sending to \a to, without a copy; they must
    /// stay valid until \ref flush.
    ///
    /// Flushes first if the queue holds \ref max_batch datagrams.
    void queue(const endpoint& to, const_byte_span bytes);

    /// \brief Like \ref queue, but copies \a bytes.
    void queue_copy(const endpoint& to, const_byte_span bytes);

    /// \brief Sends the queued datagrams.
    ///
    /// Those that the operating system rejects are dropped and counted in
    /// \ref send_failures.
    void flush();

    /// \brief Sends a datagram, and all queued ones, immediately.
    void send(const endpoint& to, const_byte_span bytes);

    /// \brief Local address and port of the socket.
    endpoint local() const;

    /// \brief Number of datagrams that could not be sent.
    std::uint64_t send_failures() const;

    /// \brief Number of datagrams dropped because they exceeded the size limit.
    std::uint64_t oversized() const;

    class impl;

private:
    explicit udp_socket(std::shared_ptr<impl> i) : impl_(std::move(i)) {}

    std::shared_ptr<impl> impl_;
};

} // namespace briarfield

#endif

#include "briarfield/net/udp_socket.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace briarfield
{

namespace
{

constexpr std::size_t batch_size = udp_socket::max_batch;
/// Limits the time that one readable event can occupy the loop.
constexpr std::size_t max_batches_per_wakeup = 8;

/// Requested size in bytes; the operating system may grant less.
constexpr int socket_buffer = 4 << 20;

socklen_t to_native(const endpoint& e, int family, sockaddr_storage& out)
{
    std::memset(&out, 0, sizeof out);
    if (family == AF_INET)
    {
        auto* v4 = reinterpret_cast<sockaddr_in*>(&out);
        v4->sin_family = AF_INET;
        v4->sin_port = htons(e.port);
        std::memcpy(&v4->sin_addr, e.address.v4_bytes(), 4);
        return sizeof *v4;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&out);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(e.port);
    std::memcpy(&v6->sin6_addr, e.address.bytes().data(), 16);
    return sizeof *v6;
}

endpoint from_native(const sockaddr_storage& in)
{
    endpoint e;
    if (in.ss_family == AF_INET)
    {
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(&in);
        e.address = ip_address::from_v4(
            reinterpret_cast<const std::uint8_t*>(&v4->sin_addr));
        e.port = ntohs(v4->sin_port);
    }
    else
    {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&in);
        e.address = ip_address::from_v6(
            reinterpret_cast<const std::uint8_t*>(&v6->sin6_addr));
        e.port = ntohs(v6->sin6_port);
    }
    return e;
}

} // namespace

class udp_socket::impl
{
public:
    impl(int fd, int family, batch_handler on_batch, std::size_t datagram_size)
        : fd_(fd), family_(family), on_batch_(std::move(on_batch)),
          datagram_size_(datagram_size),
          storage_(batch_size * (headroom + datagram_size))
    {
        send_queue_.reserve(batch_size);
    }

    void on_readable()
    {
        for (std::size_t i = 0; i < max_batches_per_wakeup; ++i)
            if (!receive_batch())
                return;
    }

    void queue(const endpoint& to, const_byte_span bytes)
    {
        if (send_queue_.size() == batch_size)
            flush();
        send_queue_.push_back({to, bytes});
    }

    void queue_copy(const endpoint& to, const_byte_span bytes)
    {
        if (send_queue_.size() == batch_size)
            flush();
        copies_.emplace_back(bytes.begin(), bytes.end());
        send_queue_.push_back(
            {to, {copies_.back().data(), copies_.back().size()}});
    }

    void flush()
    {
        if (send_queue_.empty())
            return;
        std::array<mmsghdr, batch_size> messages{};
        std::array<iovec, batch_size> vectors{};
        std::array<sockaddr_storage, batch_size> addresses;
        std::size_t count = 0;
        for (const outgoing& item : send_queue_)
        {
            if (family_ == AF_INET && !item.to.address.is_v4())
            {
                ++send_failures_;
                continue;
            }
            vectors[count].iov_base =
                const_cast<std::uint8_t*>(item.bytes.data());
            vectors[count].iov_len = item.bytes.size();
            msghdr& header = messages[count].msg_hdr;
            header.msg_name = &addresses[count];
            header.msg_namelen = to_native(item.to, family_, addresses[count]);
            header.msg_iov = &vectors[count];
            header.msg_iovlen = 1;
            ++count;
        }
        send_all(messages.data(), count);
        send_queue_.clear();
        copies_.clear();
    }

    endpoint local() const
    {
        sockaddr_storage address{};
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        return from_native(address);
    }

    std::uint64_t send_failures() const { return send_failures_; }
    std::uint64_t oversized() const { return oversized_; }

    void detach() { on_batch_ = {}; }

private:
    struct outgoing
    {
        endpoint to;
        const_byte_span bytes;
    };

    /// Returns false if no datagrams are left to receive.
    bool receive_batch()
    {
        std::array<mmsghdr, batch_size> messages{};
        std::array<iovec, batch_size> vectors;
        std::array<sockaddr_storage, batch_size> addresses;
        for (std::size_t i = 0; i < batch_size; ++i)
        {
            vectors[i] = {slot(i), datagram_size_};
            msghdr& header = messages[i].msg_hdr;
            header.msg_name = &addresses[i];
            header.msg_namelen = sizeof addresses[i];
            header.msg_iov = &vectors[i];
            header.msg_iovlen = 1;
        }
        const int received =
            recvmmsg(fd_, messages.data(), batch_size, MSG_DONTWAIT, nullptr);
        if (received <= 0)
            return false;
        std::array<datagram, batch_size> batch;
        std::size_t count = 0;
        for (int i = 0; i < received; ++i)
        {
            if ((messages[i].msg_hdr.msg_flags & MSG_TRUNC) != 0)
            {
                ++oversized_;
                continue;
            }
            batch[count].bytes = {slot(static_cast<std::size_t>(i)),
                                  messages[i].msg_len};
            batch[count].from = from_native(addresses[i]);
            ++count;
        }
        if (on_batch_)
            on_batch_(batch.data(), count);
        flush();
        return received == static_cast<int>(batch_size);
    }

    std::uint8_t* slot(std::size_t i)
    {
        return storage_.data() + i * (headroom + datagram_size_) + headroom;
    }

    void send_all(mmsghdr* messages, std::size_t count)
    {
        std::size_t sent = 0;
        while (sent < count)
        {
            const int n =
                sendmmsg(fd_, messages + sent,
                         static_cast<unsigned>(count - sent), MSG_DONTWAIT);
            if (n > 0)
            {
                sent += static_cast<std::size_t>(n);
                continue;
            }
            if (errno == EINTR)
                continue;
            ++send_failures_; // The first remaining one failed; skip it.
            ++sent;
        }
    }

    int fd_;
    int family_;
    batch_handler on_batch_;
    std::size_t datagram_size_; ///< Bytes.
    std::vector<std::uint8_t> storage_;
    std::vector<outgoing> send_queue_;
    std::deque<std::vector<std::uint8_t>> copies_;
    std::uint64_t send_failures_ = 0;
    std::uint64_t oversized_ = 0;
};

result<std::unique_ptr<udp_socket>>
udp_socket::create(event_loop& loop,
                   const endpoint& local_address,
                   handler on_datagram,
                   std::size_t max_size)
{
    return create_batched(
        loop, local_address,
        [call = std::move(on_datagram)](const datagram* batch,
                                        std::size_t count)
        {
            for (std::size_t i = 0; i < count; ++i)
                call(batch[i].bytes, batch[i].from);
        },
        max_size);
}

result<std::unique_ptr<udp_socket>>
udp_socket::create_batched(event_loop& loop,
                           const endpoint& local_address,
                           batch_handler on_batch,
                           std::size_t max_size)
{
    const int family = local_address.address.is_v4() ? AF_INET : AF_INET6;
    const int fd = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return fail(errc::socket_failed, std::strerror(errno));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer, sizeof socket_buffer);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &socket_buffer, sizeof socket_buffer);
    sockaddr_storage address;
    const socklen_t size = to_native(local_address, family, address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0)
    {
        const std::string reason = std::strerror(errno);
        close(fd);
        return fail(errc::address_in_use,
                    local_address.to_string() + ": " + reason);
    }
    auto state =
        std::make_shared<impl>(fd, family, std::move(on_batch), max_size);
    auto adopted = loop.adopt(fd, [state] { state->on_readable(); });
    if (!adopted)
        return fail(adopted.error().code, adopted.error().detail);
    return std::unique_ptr<udp_socket>(new udp_socket(std::move(state)));
}

udp_socket::~udp_socket()
{
    impl_->detach();
}

void udp_socket::queue(const endpoint& to, const_byte_span bytes)
{
    impl_->queue(to, bytes);
}

void udp_socket::queue_copy(const endpoint& to, const_byte_span bytes)
{
    impl_->queue_copy(to, bytes);
}

void udp_socket::flush()
{
    impl_->flush();
}

void udp_socket::send(const endpoint& to, const_byte_span bytes)
{
    impl_->queue(to, bytes);
    impl_->flush();
}

endpoint udp_socket::local() const
{
    return impl_->local();
}

std::uint64_t udp_socket::send_failures() const
{
    return impl_->send_failures();
}

std::uint64_t udp_socket::oversized() const
{
    return impl_->oversized();
}

} // namespace briarfield

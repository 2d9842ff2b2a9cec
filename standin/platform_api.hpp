#ifndef BRIARFIELD_STANDIN_PLATFORM_API_HPP
#define BRIARFIELD_STANDIN_PLATFORM_API_HPP

#include "memory_object_store.hpp"

#include "briarfield/net/http_server.hpp"

namespace briarfield::standin
{

/// The platform's object API over HTTP, following the Kubernetes conventions.
///
/// Besides the objects it serves GET /debug/calls (counts), PUT /debug/faults
/// (members of store_faults, delay in milliseconds as "delay_ms"), POST
/// /debug/compact (clears the watch history) and POST /debug/end-watches.
class platform_api
{
public:
    /// Errors: errc::address_in_use.
    static result<std::unique_ptr<platform_api>>
    create(event_loop& loop, const endpoint& address);

    ~platform_api();
    platform_api(const platform_api&) = delete;
    platform_api& operator=(const platform_api&) = delete;

    memory_object_store& store() { return store_; }
    std::uint16_t port() const { return server_->port(); }

private:
    struct target;
    struct stream;

    explicit platform_api(timer_queue& timers);
    void answer(const http_server_request& request,
                const http_responder& responder);
    void answer_debug(const http_server_request& request,
                      const http_responder& responder);
    void list(const target& t,
              const std::string& query,
              const http_responder& responder);
    void watch(const target& t,
               const std::string& query,
               const http_responder& responder);
    void write(const target& t,
               const http_server_request& request,
               const http_responder& responder);
    void remove(const target& t,
                const http_server_request& request,
                const http_responder& responder);
    void drop_closed_streams();

    timer_queue* timers_;
    memory_object_store store_;
    std::vector<std::shared_ptr<stream>> streams_;
    std::unique_ptr<http_server> server_;
};

} // namespace briarfield::standin

#endif

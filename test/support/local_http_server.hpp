#ifndef BRIARFIELD_TEST_SUPPORT_LOCAL_HTTP_SERVER_HPP
#define BRIARFIELD_TEST_SUPPORT_LOCAL_HTTP_SERVER_HPP

#include "briarfield/net/event_loop.hpp"
#include "briarfield/net/http_server.hpp"

#include <chrono>
#include <cppunit/TestAssert.h>
#include <memory>

namespace briarfield::test
{

/// An HTTP server on loopback that a test answers for, and its event loop.
class local_http_server
{
public:
    local_http_server(const clock& c, http_server::handler on_request)
        : loop_(std::move(event_loop::create(c).value())),
          server_(std::move(
              http_server::create(*loop_, any_port(), std::move(on_request))
                  .value()))
    {
    }

    event_loop& loop() { return *loop_; }

    endpoint address() const { return {any_port().address, server_->port()}; }

    /// Runs the loop until \a done returns true.
    template <class Done>
    void run_until(const Done& done)
    {
        for (std::size_t iterations = 0; !done(); ++iterations)
        {
            CPPUNIT_ASSERT_MESSAGE("nothing happened",
                                   iterations < iteration_limit);
            loop_->timers().schedule(std::chrono::milliseconds(1), [] {});
            loop_->run_once();
        }
    }

private:
    /// Iterations of the loop after which a wait fails.
    static constexpr std::size_t iteration_limit = 20000;

    static endpoint any_port()
    {
        return endpoint::parse("127.0.0.1:0").value();
    }

    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_server> server_;
};

} // namespace briarfield::test

#endif

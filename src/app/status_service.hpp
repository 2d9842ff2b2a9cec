#ifndef BRIARFIELD_SRC_APP_STATUS_SERVICE_HPP
#define BRIARFIELD_SRC_APP_STATUS_SERVICE_HPP

#include "runtime_service.hpp"

#include "briarfield/net/http_server.hpp"

namespace briarfield::app
{

class metrics_service;

/// Serves /healthz, /readyz and /metrics.
class status_service final : public service
{
public:
    static constexpr std::string_view service_name = "status";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;
    void stop() override { server_.reset(); }

private:
    void answer(const http_server_request& request,
                const http_responder& responder) const;
    void answer_readiness(const http_responder& responder) const;

    kernel* kernel_ = nullptr;
    metrics_service* metrics_ = nullptr;
    std::unique_ptr<http_server> server_;
};

} // namespace briarfield::app

#endif

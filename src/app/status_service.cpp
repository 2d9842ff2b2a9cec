#include "status_service.hpp"

#include "metrics_service.hpp"

namespace briarfield::app
{

namespace
{

constexpr const char* plain = "text/plain; charset=utf-8";
constexpr const char* prometheus_text =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace

std::vector<std::string_view> status_service::depends_on() const
{
    return {runtime_service::service_name, metrics_service::service_name};
}

result<void> status_service::start(kernel& k)
{
    kernel_ = &k;
    metrics_ = k.find<metrics_service>(metrics_service::service_name);
    auto* runtime = k.find<runtime_service>(runtime_service::service_name);
    auto server =
        http_server::create(runtime->loop(), runtime->config().http_address,
                            [this](const http_server_request& request,
                                   const http_responder& responder)
                            { answer(request, responder); });
    if (!server)
        return fail(server.error().code, server.error().detail);
    server_ = std::move(server.value());
    return ok();
}

void status_service::answer(const http_server_request& request,
                            const http_responder& responder) const
{
    if (request.method != "GET")
        return responder.reply(405, "expected GET\n", plain);
    if (request.path == "/healthz")
        return responder.reply(200, "ok\n", plain);
    if (request.path == "/readyz")
        return answer_readiness(responder);
    if (request.path == "/metrics")
        return responder.reply(200, metrics_->registry().text(),
                               prometheus_text);
    responder.reply(404, "expected /metrics, /healthz or /readyz\n", plain);
}

void status_service::answer_readiness(const http_responder& responder) const
{
    if (kernel_->ready())
        return responder.reply(200, "ready\n", plain);
    std::string text = kernel_->draining() ? "draining\n" : "";
    for (const std::string& reason : kernel_->not_ready())
        text += "not ready: " + reason + "\n";
    responder.reply(503, text, plain);
}

} // namespace briarfield::app

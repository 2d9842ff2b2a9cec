#include "span.hpp"

#include "briarfield/core/byte_order.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace briarfield::app
{

namespace
{

constexpr std::uint8_t sampled_flag = 0x01;
constexpr int span_kind_internal = 1;
constexpr int status_error = 2;

template <std::size_t Size>
std::string hex(const std::array<std::uint8_t, Size>& bytes)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * Size);
    for (const std::uint8_t byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

nlohmann::json attribute(const std::string& key, const std::string& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

nlohmann::json json_of(const span& s)
{
    nlohmann::json out = {{"traceId", hex(s.context.trace_id)},
                          {"spanId", hex(s.context.span_id)},
                          {"name", s.name},
                          {"kind", span_kind_internal},
                          {"startTimeUnixNano", std::to_string(s.start)},
                          {"endTimeUnixNano", std::to_string(s.end)},
                          {"attributes", nlohmann::json::array()}};
    if (s.parent != decltype(s.parent){})
        out["parentSpanId"] = hex(s.parent);
    for (const auto& [key, value] : s.attributes)
        out["attributes"].push_back(attribute(key, value));
    if (s.failed)
        out["status"] = {{"code", status_error}};
    return out;
}

} // namespace

void span_queue::push(span s)
{
    if (spans_.size() >= capacity_)
    {
        ++dropped_;
        return;
    }
    spans_.push_back(std::move(s));
}

std::vector<span> span_queue::take(std::size_t limit)
{
    const std::size_t count = std::min(limit, spans_.size());
    const auto end = spans_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<span> out(std::make_move_iterator(spans_.begin()),
                          std::make_move_iterator(end));
    spans_.erase(spans_.begin(), end);
    return out;
}

bool trace_sampler::sample(time_point now, trace_context& out)
{
    if (ratio_ <= 0 || random_.unit() >= ratio_)
        return false;
    const std::chrono::duration<double> elapsed = now - last_;
    last_ = now;
    tokens_ = std::min(rate_limit, tokens_ + elapsed.count() * rate_limit);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    out = root();
    return true;
}

trace_context trace_sampler::root()
{
    trace_context out;
    store_be64(out.trace_id.data(), random_.next());
    store_be64(out.trace_id.data() + 8, random_.next() | 1U); // Never zero.
    return child_of(out);
}

trace_context trace_sampler::child_of(const trace_context& parent)
{
    trace_context out = parent;
    store_be64(out.span_id.data(), random_.next() | 1U); // Never zero.
    out.flags = sampled_flag;
    return out;
}

std::string traceparent(const trace_context& context)
{
    return "00-" + hex(context.trace_id) + "-" + hex(context.span_id) +
           (context.flags == sampled_flag ? "-01" : "-00");
}

std::string otlp_json(const std::vector<span>& spans,
                      const std::string& instance,
                      const std::string& zone)
{
    nlohmann::json list = nlohmann::json::array();
    for (const span& s : spans)
        list.push_back(json_of(s));
    const nlohmann::json resource = {
        {"attributes",
         {attribute("service.name", "briarfield"),
          attribute("service.instance.id", instance),
          attribute("cloud.availability_zone", zone)}}};
    const nlohmann::json scope = {{"scope", {{"name", "briarfield"}}},
                                  {"spans", std::move(list)}};
    const nlohmann::json body = {
        {"resourceSpans",
         {{{"resource", resource},
           {"scopeSpans", nlohmann::json::array({scope})}}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace briarfield::app

#include "metric_registry.hpp"

#include <algorithm>
#include <prometheus/check_names.h>
#include <prometheus/text_serializer.h>

namespace briarfield::app
{

namespace
{

prometheus::ClientMetric::Histogram snapshot(const histogram& h)
{
    prometheus::ClientMetric::Histogram out;
    out.sample_count = h.count();
    out.sample_sum = h.sum();
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < histogram::bucket_count; ++i)
    {
        cumulative += h.bucket(i);
        out.bucket.push_back({cumulative, h.bound(i)});
    }
    return out;
}

bool ends_in_total(const std::string& name)
{
    constexpr std::string_view suffix = "_total";
    return name.size() > suffix.size() &&
           name.compare(name.size() - suffix.size(), suffix.size(), suffix) ==
               0;
}

} // namespace

result<void> metric_registry::add_counter(const metric_info& info, reader read)
{
    if (!ends_in_total(info.name))
        return fail(errc::internal, info.name + ": expected suffix _total");
    return add(info, prometheus::MetricType::Counter,
               [read = std::move(read)](prometheus::ClientMetric& m)
               { m.counter.value = read(); });
}

result<void> metric_registry::add_gauge(const metric_info& info, reader read)
{
    return add(info, prometheus::MetricType::Gauge,
               [read = std::move(read)](prometheus::ClientMetric& m)
               { m.gauge.value = read(); });
}

result<void> metric_registry::add_histogram(const metric_info& info,
                                            const histogram& h)
{
    return add(info, prometheus::MetricType::Histogram,
               [&h](prometheus::ClientMetric& m)
               { m.histogram = snapshot(h); });
}

result<void> metric_registry::add(const metric_info& info,
                                  prometheus::MetricType type,
                                  fill read)
{
    if (!prometheus::CheckMetricName(info.name))
        return fail(errc::internal, info.name + ": not a metric name");
    for (const auto& label : info.labels)
        if (!prometheus::CheckLabelName(label.name))
            return fail(errc::internal, label.name + ": not a label name");
    auto found =
        std::find_if(families_.begin(), families_.end(),
                     [&info](const family& f) { return f.name == info.name; });
    if (found == families_.end())
        found =
            families_.insert(families_.end(), {info.name, info.help, type, {}});
    if (found->type != type)
        return fail(errc::internal, info.name + ": published as another type");
    found->sources.push_back({info.labels, std::move(read)});
    return ok();
}

std::vector<prometheus::MetricFamily> metric_registry::Collect() const
{
    std::vector<prometheus::MetricFamily> out;
    out.reserve(families_.size());
    for (const family& f : families_)
    {
        prometheus::MetricFamily collected{f.name, f.help, f.type, {}};
        collected.metric.reserve(f.sources.size());
        for (const source& s : f.sources)
        {
            prometheus::ClientMetric metric;
            metric.label = s.labels;
            s.read(metric);
            collected.metric.push_back(std::move(metric));
        }
        out.push_back(std::move(collected));
    }
    return out;
}

std::string metric_registry::text() const
{
    return prometheus::TextSerializer().Serializer::Serialize(Collect());
}

} // namespace briarfield::app

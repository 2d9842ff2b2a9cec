#ifndef BRIARFIELD_SRC_APP_METRIC_REGISTRY_HPP
#define BRIARFIELD_SRC_APP_METRIC_REGISTRY_HPP

#include "briarfield/core/counter_set.hpp"
#include "briarfield/core/error.hpp"
#include "briarfield/core/histogram.hpp"

#include <functional>
#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <string>
#include <string_view>
#include <vector>

namespace briarfield::app
{

/// Name, help and labels of a metric.
struct metric_info
{
    /// Follows the Prometheus conventions; includes the unit.
    std::string name;
    std::string help; ///< One sentence.
    std::vector<prometheus::ClientMetric::Label> labels{};
};

/// Registry of metric sources, which are read on each collection.
///
/// A source must outlive the last collection. Metrics of the same name with
/// different labels form one family.
class metric_registry final : public prometheus::Collectable
{
public:
    using reader = std::function<double()>;

    /// Publishes each counter of \a set with its name as the value of the
    /// label \a label.
    ///
    /// Errors of all add functions: errc::internal for a name that is not valid
    /// in Prometheus or is registered with another type.
    template <class Enum>
    result<void> add_counters(const metric_info& info,
                              const std::string& label,
                              const counter_set<Enum>& set,
                              std::string_view (*name_of)(Enum) noexcept)
    {
        for (std::size_t i = 0; i < counter_set<Enum>::size(); ++i)
        {
            const auto counter = static_cast<Enum>(i); // Contiguous from 0.
            metric_info labelled = info;
            labelled.labels.push_back({label, std::string(name_of(counter))});
            auto added = add_counter(
                labelled, [&set, counter]
                { return static_cast<double>(set.value(counter)); });
            if (!added)
                return added;
        }
        return ok();
    }

    /// Publishes a counter, which never decreases; its name ends in "_total".
    result<void> add_counter(const metric_info& info, reader read);

    /// Publishes a gauge, whose value may rise and fall.
    result<void> add_gauge(const metric_info& info, reader read);

    /// Publishes a histogram.
    result<void> add_histogram(const metric_info& info, const histogram& h);

    std::vector<prometheus::MetricFamily> Collect() const override;

    /// All metrics in the text format of Prometheus.
    std::string text() const;

private:
    using fill = std::function<void(prometheus::ClientMetric&)>;

    struct source
    {
        std::vector<prometheus::ClientMetric::Label> labels;
        fill read;
    };

    struct family
    {
        std::string name;
        std::string help;
        prometheus::MetricType type;
        std::vector<source> sources;
    };

    result<void>
    add(const metric_info& info, prometheus::MetricType type, fill read);

    std::vector<family> families_;
};

} // namespace briarfield::app

#endif

#ifndef BRIARFIELD_SRC_APP_LOAD_SERVICE_HPP
#define BRIARFIELD_SRC_APP_LOAD_SERVICE_HPP

#include "announcer_service.hpp"
#include "directory_service.hpp"

#include "briarfield/load/capacity_estimator.hpp"
#include "briarfield/load/share_scheduler.hpp"
#include "briarfield/load/target_weigher.hpp"

namespace briarfield::app
{

/// Measures the backend server, announces its capacity, and refuses new
/// flows that would wait too long.
class agent_load_service final : public service
{
public:
    static constexpr std::string_view service_name = "load";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;

    const capacity_estimate& estimate() const { return estimator_->estimate(); }

private:
    result<void> add_metrics(const kernel& k);
    void repeat();
    void fill(announcement& a);
    bool admit() const;

    runtime_service* runtime_ = nullptr;
    std::unique_ptr<capacity_estimator> estimator_;
    double announced_ = 0; ///< Capacity; moves in steps that matter.
};

/// Weighs the targets of the services that this balancer observes, and
/// refuses new flows beyond their shares of its own rate.
class balancer_load_service final : public service
{
public:
    static constexpr std::string_view service_name = "load";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;

private:
    void on_announcement(const announcement& a);
    void weigh();
    void split();
    void take_config();

    runtime_service* runtime_ = nullptr;
    config_service* config_ = nullptr;
    directory_service* directory_ = nullptr;
    std::unique_ptr<target_weigher> weigher_;
    std::unique_ptr<rate_scheduler> shares_;
    std::uint64_t config_version_ = 0;
};

} // namespace briarfield::app

#endif

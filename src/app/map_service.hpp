#ifndef BRIARFIELD_SRC_APP_MAP_SERVICE_HPP
#define BRIARFIELD_SRC_APP_MAP_SERVICE_HPP

#include "directory_service.hpp"

namespace briarfield::app
{

/// Builds the service table of the data path from the bucket maps.
class map_service final : public service
{
public:
    static constexpr std::string_view service_name = "maps";

    std::string_view name() const override { return service_name; }
    std::vector<std::string_view> depends_on() const override;
    result<void> start(kernel& k) override;

    /// Whether the maps are synchronized with the peers, and there is one if
    /// any service is configured.
    bool ready() const override;
    std::string not_ready_reason() const override
    {
        return "no bucket map received or built yet";
    }

    std::shared_ptr<const service_table> table() const { return table_; }

    /// Called after each change of the table.
    std::function<void()> on_change;

private:
    void poll();
    bool may_serve(const announcement& a) const;
    void on_config();
    void rebuild_table();

    runtime_service* runtime_ = nullptr;
    config_service* config_ = nullptr;
    directory_service* directory_ = nullptr;
    std::shared_ptr<const service_table> table_;
    bool table_outdated_ = false; ///< Whether the table must be rebuilt.
};

} // namespace briarfield::app

#endif

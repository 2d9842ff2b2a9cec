#include "briarfield/core/kernel.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;

using names = std::vector<std::string_view>;
using call_log = std::vector<std::string>;

/// Service that records the calls it receives.
class recording_service final : public service
{
public:
    recording_service(std::string_view name, names dependencies, call_log& log)
        : name_(name), dependencies_(std::move(dependencies)), log_(&log)
    {
    }

    std::string_view name() const override { return name_; }
    names depends_on() const override { return dependencies_; }
    result<void> start(kernel&) override
    {
        if (fails)
            return fail(errc::address_in_use, "here");
        return record("start");
    }
    bool ready() const override { return is_ready; }
    std::string not_ready_reason() const override { return reason; }
    void drain() override { (void)record("drain"); }
    bool drained() const override { return is_drained; }
    void stop() override { (void)record("stop"); }

    bool fails = false;
    bool is_ready = true;
    bool is_drained = true;
    std::string reason;

private:
    result<void> record(const std::string& call)
    {
        log_->push_back(call + " " + std::string(name_));
        return ok();
    }

    std::string_view name_;
    names dependencies_;
    call_log* log_;
};

class kernel_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kernel_test);
    CPPUNIT_TEST(services_start_after_their_dependencies);
    CPPUNIT_TEST(failed_start_stops_what_was_started);
    CPPUNIT_TEST(cycles_and_missing_services_are_errors);
    CPPUNIT_TEST(names_are_unique_and_found_by_type);
    CPPUNIT_TEST(readiness_gives_reasons);
    CPPUNIT_TEST(drains_dependents_first);
    CPPUNIT_TEST_SUITE_END();

    call_log log_;

    recording_service*
    add(kernel& k, std::string_view name, names dependencies = {})
    {
        auto s = std::make_unique<recording_service>(
            name, std::move(dependencies), log_);
        recording_service* raw = s.get();
        CPPUNIT_ASSERT(k.add(std::move(s)).has_value());
        return raw;
    }

public:
    void services_start_after_their_dependencies()
    {
        {
            kernel k;
            add(k, "c", {"b", "a"});
            add(k, "b", {"a"});
            add(k, "a");
            CPPUNIT_ASSERT(k.start().has_value());
        }
        CPPUNIT_ASSERT(log_ == (call_log{"start a", "start b", "start c",
                                         "stop c", "stop b", "stop a"}));
    }

    void failed_start_stops_what_was_started()
    {
        kernel k;
        add(k, "a");
        add(k, "b", {"a"})->fails = true;
        add(k, "c", {"b"});
        const auto outcome = k.start();
        CPPUNIT_ASSERT(outcome.has_error());
        CPPUNIT_ASSERT(outcome.error().code == errc::address_in_use);
        CPPUNIT_ASSERT(log_ == (call_log{"start a", "stop a"}));
    }

    void cycles_and_missing_services_are_errors()
    {
        kernel cycle;
        add(cycle, "a", {"b"});
        add(cycle, "b", {"a"});
        CPPUNIT_ASSERT(cycle.start().error().code ==
                       errc::service_start_failed);
        kernel missing;
        add(missing, "a", {"b"});
        CPPUNIT_ASSERT(missing.start().error().code == errc::service_missing);
        CPPUNIT_ASSERT(log_.empty());
    }

    void names_are_unique_and_found_by_type()
    {
        kernel k;
        recording_service* a = add(k, "a");
        CPPUNIT_ASSERT(
            k.add(std::make_unique<recording_service>("a", names{}, log_))
                .has_error());
        CPPUNIT_ASSERT(k.find<recording_service>("a") == a);
        CPPUNIT_ASSERT(k.find<recording_service>("b") == nullptr);
    }

    void readiness_gives_reasons()
    {
        kernel k;
        add(k, "a");
        recording_service* b = add(k, "b");
        CPPUNIT_ASSERT(k.start().has_value());
        CPPUNIT_ASSERT(k.ready());
        b->is_ready = false;
        CPPUNIT_ASSERT(!k.ready());
        CPPUNIT_ASSERT(k.not_ready() == std::vector<std::string>{"b"});
        b->reason = "no map";
        CPPUNIT_ASSERT(k.not_ready() == std::vector<std::string>{"b: no map"});
    }

    void drains_dependents_first()
    {
        kernel k;
        add(k, "a")->is_drained = false;
        add(k, "b", {"a"});
        CPPUNIT_ASSERT(k.start().has_value());
        log_.clear();
        k.drain();
        CPPUNIT_ASSERT(log_ == (call_log{"drain b", "drain a"}));
        CPPUNIT_ASSERT(!k.ready());
        CPPUNIT_ASSERT(!k.drained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kernel_test);

} // namespace

#include "briarfield/route/map_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace briarfield;

build_input input_of(std::initializer_list<double> weights)
{
    build_input input;
    instance_id id = 1;
    for (const double w : weights)
    {
        build_target t;
        t.instance = id++;
        t.weight = w;
        input.targets.push_back(t);
    }
    return input;
}

class map_builder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(map_builder_test);
    CPPUNIT_TEST(buckets_follow_weights);
    CPPUNIT_TEST(leaving_server_moves_only_its_buckets);
    CPPUNIT_TEST(merge_keeps_owners_of_both_maps);
    CPPUNIT_TEST_SUITE_END();

public:
    void buckets_follow_weights()
    {
        const bucket_map map = build_bucket_map({}, input_of({1, 1, 2}));
        std::vector<int> owned(3);
        for (const bucket_owners& owners : map.buckets)
            ++owned[owners.target[0]];
        CPPUNIT_ASSERT(owned == (std::vector<int>{64, 64, 128}));
    }

    void leaving_server_moves_only_its_buckets()
    {
        const bucket_map before = build_bucket_map({}, input_of({1, 1, 1, 1}));
        const bucket_map after =
            build_bucket_map(before, input_of({1, 0, 1, 1}));
        CPPUNIT_ASSERT_EQUAL(64U, count_moved(before, after));
        for (const bucket_owners& owners : after.buckets)
            CPPUNIT_ASSERT(owners.target[0] != 1);
    }

    void merge_keeps_owners_of_both_maps()
    {
        const bucket_map base = build_bucket_map({}, input_of({1, 1}));
        const bucket_map winner = build_bucket_map(base, input_of({1, 1, 1}));
        build_input other = input_of({1, 1});
        other.targets.push_back({9, {}, 1.0, false});
        const bucket_map loser = build_bucket_map(base, other);
        const bucket_map merged = merge_bucket_maps(winner, loser);
        CPPUNIT_ASSERT_EQUAL(0U, count_moved(winner, merged));
        for (std::size_t b = 0; b < merged.buckets.size(); ++b)
        {
            for (const bucket_map* source : {&winner, &loser})
                for (std::size_t i = 0; i < source->buckets[b].length; ++i)
                    CPPUNIT_ASSERT(chain_contains(merged, b, *source, i));
        }
    }

private:
    static bool chain_contains(const bucket_map& map,
                               std::size_t bucket,
                               const bucket_map& other,
                               std::size_t position)
    {
        const instance_id wanted =
            other.targets[other.buckets[bucket].target[position]].instance;
        const bucket_owners& owners = map.buckets[bucket];
        for (std::size_t i = 0; i < owners.length; ++i)
            if (map.targets[owners.target[i]].instance == wanted)
                return true;
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(map_builder_test);

} // namespace

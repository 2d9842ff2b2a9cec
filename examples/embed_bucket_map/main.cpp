// Embeds the bucket map: three targets share the buckets of a service, then one
// of them drains, and the buckets that move keep it as their previous owner.
#include "briarfield/route/map_builder.hpp"

#include <cstdio>
#include <map>

namespace
{

using namespace briarfield;

build_target target(const char* name, std::uint16_t port, double weight)
{
    build_target t;
    t.instance = make_instance_id(name);
    t.agent = endpoint::parse("192.0.2.1:" + std::to_string(port)).value();
    t.weight = weight;
    return t;
}

void print(const char* label, const bucket_map& m)
{
    std::map<std::uint16_t, unsigned> owned;
    std::size_t max_length = 0;
    for (const bucket_owners& owners : m.buckets)
    {
        ++owned[owners.target[0]];
        max_length = owners.length > max_length ? owners.length : max_length;
    }
    std::printf("%s: longest chain %zu\n", label, max_length);
    for (const auto& [index, buckets] : owned)
        std::printf("  %s: %u buckets\n",
                    m.targets[index].agent.to_string().c_str(), buckets);
}

} // namespace

int main()
{
    build_input input;
    input.service = make_service_id("himal", "datum-live");
    input.version = map_version{}.next(make_instance_id("author"));
    input.targets = {target("a", 1, 1.0), target("b", 2, 2.0),
                     target("c", 3, 1.0)};
    const bucket_map first = build_bucket_map(bucket_map{}, input);
    print("three targets", first);

    input.version = first.version.next(make_instance_id("author"));
    // Drains: its open flows stay, and new flows go to the other targets.
    input.targets[1].weight = 0;
    const bucket_map second = build_bucket_map(first, input);
    print("one drains", second);

    const std::uint32_t moved = count_moved(first, second);
    std::printf("moved: %u of %zu\n", moved, second.buckets.size());
    return moved == 128
               ? 0
               : 1; // Half of the buckets: those of the draining target.
}

#include "standin.hpp"

#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

namespace
{

using namespace briarfield;
using namespace briarfield::standin;

endpoint endpoint_option(const cxxopts::ParseResult& parsed,
                         const std::string& name)
{
    auto value = endpoint::parse(parsed[name].as<std::string>());
    if (!value)
        throw cxxopts::exceptions::parsing(value.error().message());
    return value.value();
}

std::vector<std::string> words(const std::string& text, char separator)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    std::string word;
    while (std::getline(in, word, separator))
        if (!word.empty())
            out.push_back(word);
    return out;
}

endpoint endpoint_word(const std::string& text)
{
    auto value = endpoint::parse(text);
    if (!value)
        throw cxxopts::exceptions::parsing(value.error().message());
    return value.value();
}

/// Parses a list of "FABRIC/HTTP", one per balancer.
std::vector<fabric_member> members_option(const std::string& text)
{
    std::vector<fabric_member> members;
    for (const std::string& word : words(text, ','))
    {
        const auto parts = words(word, '/');
        if (parts.size() != 2)
            throw cxxopts::exceptions::parsing("expected FABRIC/HTTP: " + word);
        members.push_back({endpoint_word(parts[0]), endpoint_word(parts[1])});
    }
    return members;
}

/// Parses a list of "tcp/ADDRESS:PORT" or "udp/ADDRESS:PORT".
std::vector<caller_target> targets_option(const std::string& text)
{
    std::vector<caller_target> targets;
    for (const std::string& word : words(text, ','))
    {
        const auto parts = words(word, '/');
        if (parts.size() != 2 || (parts[0] != "tcp" && parts[0] != "udp"))
            throw cxxopts::exceptions::parsing("expected tcp/A:P or udp/A:P");
        targets.push_back({endpoint_word(parts[1]), parts[0] == "tcp"
                                                        ? transport::tcp
                                                        : transport::udp});
    }
    return targets;
}

traffic_options traffic_of(const cxxopts::ParseResult& parsed)
{
    traffic_options o;
    o.listen = endpoint_option(parsed, "listen");
    o.members = members_option(parsed["members"].as<std::string>());
    o.targets = targets_option(parsed["targets"].as<std::string>());
    o.flows = parsed["flows"].as<unsigned>();
    o.seconds = parsed["seconds"].as<unsigned>();
    o.interval_ms = parsed["interval-ms"].as<unsigned>();
    o.opens_per_second = parsed["opens"].as<unsigned>();
    o.seed = parsed["seed"].as<std::uint64_t>();
    return o;
}

int run(const cxxopts::ParseResult& parsed)
{
    const auto kind = parsed["kind"].as<std::string>();
    if (kind == "platform")
        return run_platform({endpoint_option(parsed, "listen"),
                             parsed["objects"].as<std::string>()});
    if (kind == "server")
        return run_server({endpoint_option(parsed, "listen"),
                           parsed["name"].as<std::string>()});
    if (kind == "traffic")
        return run_traffic(traffic_of(parsed));
    throw cxxopts::exceptions::parsing("unknown kind '" + kind + "'");
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("briarfield-standin",
                             "Stand-ins for tests: platform, server, traffic.");
    options.add_options()("h,help", "Show this help")(
        "kind", "platform, server or traffic", cxxopts::value<std::string>())(
        "listen", "ADDRESS:PORT to listen on", cxxopts::value<std::string>())(
        "objects", "platform: JSON file of objects",
        cxxopts::value<std::string>()->default_value(""))(
        "name", "server: its name",
        cxxopts::value<std::string>()->default_value("server"))(
        "members", "traffic: FABRIC/HTTP,... of the balancers",
        cxxopts::value<std::string>()->default_value(""))(
        "targets", "traffic: tcp/ADDRESS:PORT,udp/ADDRESS:PORT,...",
        cxxopts::value<std::string>()->default_value(""))(
        "flows", "traffic: number of flows",
        cxxopts::value<unsigned>()->default_value("100"))(
        "seconds", "traffic: duration of the run",
        cxxopts::value<unsigned>()->default_value("10"))(
        "interval-ms", "traffic: milliseconds between two requests of a flow",
        cxxopts::value<unsigned>()->default_value("500"))(
        "opens", "traffic: short flows opened per second",
        cxxopts::value<unsigned>()->default_value("0"))(
        "seed", "traffic: seed of the random choices",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    options.parse_positional({"kind"});
    options.positional_help("platform|server|traffic");
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0 || parsed.count("kind") == 0)
        {
            std::cout << options.help();
            return parsed.count("help") != 0 ? 0 : 2;
        }
        return run(parsed);
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << "briarfield-standin: " << e.what() << "\n";
        return 2;
    }
}

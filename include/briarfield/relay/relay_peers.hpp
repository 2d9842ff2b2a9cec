#ifndef BRIARFIELD_RELAY_RELAY_PEERS_HPP
#define BRIARFIELD_RELAY_RELAY_PEERS_HPP

#include "briarfield/core/clock.hpp"
#include "briarfield/core/endpoint.hpp"

#include <chrono>
#include <map>
#include <vector>

namespace briarfield
{

/// \brief The balancers that a process knows of, by their relay addresses.
///
/// Seeds come from the settings and are tried always; others are learnt and
/// forgotten when nothing is heard of them.
class relay_peers
{
public:
    /// \brief A balancer that was silent for so long is forgotten.
    static constexpr duration forget_after = std::chrono::seconds(12);

    explicit relay_peers(const clock& c) : clock_(&c) {}

    void add_seed(const endpoint& relay);

    /// \brief Notes a sign of life.
    ///
    /// \returns whether the balancer was unknown, or has started anew.
    bool heard(const endpoint& relay, std::uint64_t incarnation);

    /// \brief Notes a balancer that another one named; true if it is new.
    bool introduced(const endpoint& relay);

    /// \brief Forgets a balancer that has said that it leaves.
    void left(const endpoint& relay);

    /// \brief All to write to: seeds, and those heard or named of late.
    std::vector<endpoint> contacts();

    /// \brief Those that were heard of late.
    std::vector<endpoint> alive();

private:
    struct peer
    {
        time_point last{};
        std::uint64_t incarnation = 0;
        bool seed = false;
        bool ever_heard = false;
    };

    void forget_old();

    const clock* clock_;
    std::map<endpoint, peer> peers_;
};

} // namespace briarfield

#endif

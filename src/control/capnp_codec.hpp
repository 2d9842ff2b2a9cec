#ifndef BRIARFIELD_SRC_CONTROL_CAPNP_CODEC_HPP
#define BRIARFIELD_SRC_CONTROL_CAPNP_CODEC_HPP

#include "briarfield/core/error.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <string>
#include <string_view>

namespace briarfield
{

/// Limits for messages received from other processes.
constexpr std::size_t message_size_limit = 1U << 20U; // Bytes, packed.
constexpr std::uint64_t traversal_limit = 1U << 20U;  // Words.
constexpr int nesting_limit = 16;                     // Levels.

/// Serializes \a message in the packed format.
inline std::string encode_message(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Unpacks \a bytes and returns the result of \a read for the root.
///
/// Errors: errc::message_too_large; errc::message_malformed, also for
/// exceptions of kj; errors of \a read.
template <class Root, class Value, class Read>
result<Value> decode_message(std::string_view bytes, Read read)
{
    if (bytes.size() > message_size_limit)
        return fail(errc::message_too_large,
                    std::to_string(bytes.size()) + " bytes");
    result<Value> outcome = fail(errc::message_malformed);
    const auto raised = kj::runCatchingExceptions(
        [&]
        {
            kj::ArrayInputStream in(kj::arrayPtr(
                reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
            capnp::ReaderOptions limits;
            limits.traversalLimitInWords = traversal_limit;
            limits.nestingLimit = nesting_limit;
            capnp::PackedMessageReader message(in, limits);
            outcome = read(message.getRoot<Root>());
        });
    if (raised != nullptr)
        return fail(errc::message_malformed, "message cannot be decoded");
    return outcome;
}

} // namespace briarfield

#endif

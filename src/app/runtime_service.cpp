#include "runtime_service.hpp"

#include "key_file.hpp"
#include "logging.hpp"

#include <openssl/sha.h>
#include <spdlog/spdlog.h>

namespace briarfield::app
{

namespace
{

/// All keys of a daemon; they are read completely before any is applied.
struct key_set
{
    overlay_keyring overlay;
    std::optional<message_authenticator> control;
    std::string overlay_secret;
};

/// Derives the MAC key of the overlay from the secret in its key file.
overlay_keyring::key_type derive_key(const std::string& secret)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
           digest);
    overlay_keyring::key_type key;
    std::copy(digest, digest + key.size(), key.begin());
    return key;
}

auto failure_of(const error& e)
{
    return fail(e.code, e.detail);
}

result<void> read_overlay_keys(const settings& s, key_set& out)
{
    auto signing = read_key_file(s.overlay_key_file);
    if (!signing)
        return failure_of(signing.error());
    out.overlay_secret = signing.value().bytes;
    out.overlay.set_signing_key(signing.value().id,
                                derive_key(signing.value().bytes));
    if (s.overlay_other_key_file.empty())
        return ok();
    auto other = read_key_file(s.overlay_other_key_file);
    if (!other)
        return failure_of(other.error());
    if (other.value().id == signing.value().id)
        return fail(errc::settings_bad_value,
                    "keys.overlay_other: found the id of keys.overlay, "
                    "expected another");
    out.overlay.set_other_key(other.value().id,
                              derive_key(other.value().bytes));
    return ok();
}

result<void> read_control_keys(const settings& s, key_set& out)
{
    auto signing = read_key_file(s.control_key_file);
    if (!signing)
        return failure_of(signing.error());
    out.control.emplace(std::move(signing.value().bytes));
    if (s.control_other_key_file.empty())
        return ok();
    auto other = read_key_file(s.control_other_key_file);
    if (!other)
        return failure_of(other.error());
    out.control->set_other_key(std::move(other.value().bytes));
    return ok();
}

/// Whether the flow hash is derived from the overlay key. Rotating that key
/// would then change the hash and forward open flows to other agents.
bool hashes_by_overlay_key(const settings& s)
{
    return s.role != daemon_role::agent && s.flow_hash_key_file.empty();
}

result<void> missing_flow_hash_error()
{
    return fail(errc::settings_missing_key,
                "keys.flow_hash: found nothing, expected a file, without which "
                "the overlay key of a balancer cannot be rotated");
}

result<key_set> read_keys(const settings& s)
{
    key_set keys;
    auto overlay = read_overlay_keys(s, keys);
    if (!overlay)
        return failure_of(overlay.error());
    auto control = read_control_keys(s, keys);
    if (!control)
        return failure_of(control.error());
    return keys;
}

} // namespace

result<void> runtime_service::start(kernel&)
{
    auto loop = event_loop::create(clock_);
    if (!loop)
        return failure_of(loop.error());
    loop_ = std::move(loop.value());
    if (hashes_by_overlay_key(settings_) &&
        !settings_.overlay_other_key_file.empty())
        return missing_flow_hash_error();
    auto keys = read_keys(settings_);
    if (!keys)
        return failure_of(keys.error());
    keys_ = keys.value().overlay;
    control_ = keys.value().control;
    flow_secret_ = keys.value().overlay_secret;
    if (settings_.flow_hash_key_file.empty())
        return ok();
    auto flow_hash = read_key_file(settings_.flow_hash_key_file);
    if (!flow_hash)
        return failure_of(flow_hash.error());
    flow_secret_ = std::move(flow_hash.value().bytes);
    return ok();
}

void runtime_service::reload()
{
    auto outcome = try_reload();
    if (!outcome)
    {
        ++reloads_refused_;
        spdlog::error("event=reload_refused error=\"{}\"",
                      outcome.error().message());
        return;
    }
    ++reloads_;
    spdlog::info("event=reloaded overlay_key={}", keys_.signing_id());
    for (const auto& hook : reload_hooks_)
        hook();
}

result<void> runtime_service::try_reload()
{
    auto changed = load_settings(settings_.source_file, settings_.role);
    if (!changed)
        return failure_of(changed.error());
    auto keys = read_keys(changed.value());
    if (!keys)
        return failure_of(keys.error());
    if (hashes_by_overlay_key(settings_) &&
        keys.value().overlay_secret != flow_secret_)
        return missing_flow_hash_error();
    auto applied = apply_reload(settings_, changed.value());
    if (!applied)
        return failure_of(applied.error());
    keys_ = keys.value().overlay;
    control_ = keys.value().control;
    set_log_level(settings_);
    return ok();
}

const_byte_span runtime_service::flow_secret() const
{
    return {reinterpret_cast<const std::uint8_t*>(flow_secret_.data()),
            flow_secret_.size()};
}

std::uint64_t runtime_service::start_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace briarfield::app

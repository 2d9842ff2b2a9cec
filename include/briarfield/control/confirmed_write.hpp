#ifndef BRIARFIELD_CONTROL_CONFIRMED_WRITE_HPP
#define BRIARFIELD_CONTROL_CONFIRMED_WRITE_HPP

#include "briarfield/control/object_store.hpp"
#include "briarfield/control/retry_policy.hpp"

namespace briarfield
{

/// \brief Operation of write_confirmed().
enum class write_kind : std::uint8_t
{
    create,
    update,
    update_status
};

/// \brief Resources of a confirmed write; the objects that it points to must
/// exist until the write has completed.
struct write_context
{
    object_store* store = nullptr;
    timer_queue* timers = nullptr;
    random_source* random = nullptr;
    unsigned read_attempts = 6; ///< Maximum reads after a lost response.
};

/// \brief Writes once; if the response is lost, reads the object back and
/// compares.
///
/// The write itself is never repeated. Errors: those of the call, and after a
/// lost response
/// - errc::store_conflict: the store holds the content of another writer;
/// - errc::store_not_found: the object does not exist (any more);
/// - errc::store_timeout: the store still holds the version to be replaced; the
///   caller may repeat the write with this version, since at most one of the
///   two writes can take effect;
/// - errc::store_outcome_unknown: all reads failed as well.
void write_confirmed(const write_context& context,
                     write_kind kind,
                     const stored_object& object,
                     object_store::handler<stored_object> done);

/// \brief Deletes once; if the response is lost, reads the object back.
///
/// Only key, uid and version of \a object are used. Errors: as for
/// \ref write_confirmed.
void remove_confirmed(const write_context& context,
                      const stored_object& object,
                      const object_store::handler<void>& done);

} // namespace briarfield

#endif

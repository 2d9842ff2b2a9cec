#include "briarfield/control/confirmed_write.hpp"

namespace briarfield
{

namespace
{

using object_handler = object_store::handler<stored_object>;

/// Reads an object until a read is conclusive or no attempts are left.
class read_back : public std::enable_shared_from_this<read_back>
{
public:
    read_back(const write_context& context,
              object_key key,
              object_handler on_result)
        : context_(context), key_(std::move(key)),
          on_result_(std::move(on_result)),
          attempts_left_(context.read_attempts)
    {
    }

    void schedule()
    {
        if (attempts_left_ == 0)
            return on_result_(
                fail(errc::store_outcome_unknown, key_.to_string()));
        --attempts_left_;
        context_.timers->schedule(delay_.next(*context_.random),
                                  [self = shared_from_this()]
                                  { self->read(); });
    }

private:
    void read()
    {
        context_.store->get(
            key_, [self = shared_from_this()](result<stored_object> response)
            { self->on_read(std::move(response)); });
    }

    void on_read(result<stored_object> response)
    {
        if (response || response.error().code == errc::store_not_found)
            return on_result_(std::move(response));
        schedule();
    }

    write_context context_;
    object_key key_;
    object_handler on_result_;
    backoff delay_;
    unsigned attempts_left_;
};

bool outcome_unknown(const error& e)
{
    return e.code == errc::store_outcome_unknown;
}

/// Outcome of the write of \a wanted, derived from the object read back.
result<stored_object> compare_with_written(write_kind kind,
                                           const stored_object& wanted,
                                           result<stored_object> found)
{
    if (!found)
        return found;
    const stored_object& stored = found.value();
    const std::string name = wanted.key.to_string();
    if (kind != write_kind::create && stored.uid != wanted.uid)
        return fail(errc::store_conflict, name + " was deleted and recreated");
    const bool same = kind == write_kind::update_status
                          ? stored.status == wanted.status
                          : stored.spec == wanted.spec;
    if (same)
        return found;
    if (kind != write_kind::create && stored.version == wanted.version)
        return fail(errc::store_timeout, name + " is unchanged");
    return fail(errc::store_conflict, name + " holds another writer's content");
}

void send(object_store& store,
          write_kind kind,
          const stored_object& object,
          object_handler done)
{
    switch (kind)
    {
    case write_kind::create:
        return store.create(object, std::move(done));
    case write_kind::update:
        return store.update(object, std::move(done));
    case write_kind::update_status:
        return store.update_status(object, std::move(done));
    }
}

} // namespace

void write_confirmed(const write_context& context,
                     write_kind kind,
                     const stored_object& object,
                     object_handler done)
{
    auto on_response = [context, kind, object,
                        done = std::move(done)](result<stored_object> response)
    {
        if (response || !outcome_unknown(response.error()))
            return done(std::move(response));
        std::make_shared<read_back>(
            context, object.key,
            [kind, object, done](result<stored_object> found)
            { done(compare_with_written(kind, object, std::move(found))); })
            ->schedule();
    };
    send(*context.store, kind, object, std::move(on_response));
}

void remove_confirmed(const write_context& context,
                      const stored_object& object,
                      const object_store::handler<void>& done)
{
    auto on_read = [object, done](const result<stored_object>& found)
    {
        if (!found && found.error().code == errc::store_not_found)
            return done(ok());
        if (!found)
            return done(fail(found.error().code, found.error().detail));
        if (found.value().uid != object.uid)
            return done(ok());
        if (found.value().version == object.version)
            return done(fail(errc::store_timeout,
                             object.key.to_string() + " still exists"));
        done(fail(errc::store_conflict, object.key.to_string()));
    };
    context.store->remove(
        object.key, object.version,
        [context, object, on_read, done](result<void> response)
        {
            if (response || !outcome_unknown(response.error()))
                return done(std::move(response));
            std::make_shared<read_back>(context, object.key, on_read)
                ->schedule();
        });
}

} // namespace briarfield

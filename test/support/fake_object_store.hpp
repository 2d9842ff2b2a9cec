#ifndef BRIARFIELD_TEST_SUPPORT_FAKE_OBJECT_STORE_HPP
#define BRIARFIELD_TEST_SUPPORT_FAKE_OBJECT_STORE_HPP

#include "../../standin/memory_object_store.hpp"

namespace briarfield::test
{

/// Object store in memory for tests on a manual clock; it calls its handlers
/// from a timer_queue and injects the faults of standin::store_faults.
using fake_object_store = standin::memory_object_store;
using standin::store_faults;

} // namespace briarfield::test

#endif

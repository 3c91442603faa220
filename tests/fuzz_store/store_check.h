#ifndef JACINTHSPOOL_TESTS_FUZZ_STORE_STORE_CHECK_H_
#define JACINTHSPOOL_TESTS_FUZZ_STORE_STORE_CHECK_H_

#include <string>
#include <string_view>

namespace jacinthspool::testing {

/// \brief Decodes the bytes as a list, a watch's changes, a registration and a configuration, and
/// applies whatever is accepted.
/// \returns What must not have been accepted; empty: nothing.
[[nodiscard]] std::string CheckStoreBytes(std::string_view bytes);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_FUZZ_STORE_STORE_CHECK_H_

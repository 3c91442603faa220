#ifndef JACINTHSPOOL_IMPL_OVERLOADED_H_
#define JACINTHSPOOL_IMPL_OVERLOADED_H_

namespace jacinthspool {

/// \brief Combines several function objects into one visitor for `std::visit`.
///
/// \code
/// std::visit(overloaded{[](const piece& p) { Take(p); }, [](const auto&) {}}, body);
/// \endcode
template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};

template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_OVERLOADED_H_

#ifndef JACINTHSPOOL_SETTINGS_DOCUMENT_PLACE_H_
#define JACINTHSPOOL_SETTINGS_DOCUMENT_PLACE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief The value of a document that is being checked, and the findings on it.
///
/// The text of the place is built only for a finding.
class document_place {
 public:
  /// \param document Path of the document, or of a value that holds it.
  document_place(std::string_view document, findings& found) : document_(document), found_(found) {}

  void Push(std::string key) { steps_.emplace_back(std::move(key)); }
  void Push(std::size_t index) { steps_.emplace_back(index); }
  void Pop() { steps_.pop_back(); }

  /// \brief Advances to the next element when the current value is an element of a list.
  void NextElement();

  /// \brief Adds a finding on the current value.
  void Add(std::string text) { found_.push_back({.place = ToString(), .text = std::move(text)}); }

  /// \brief Adds a finding on a member of the current value, such as "pools[2].name".
  void Add(std::string_view member, std::string text);

  /// \brief Adds a finding on the document as a whole.
  void AddAtRoot(std::string text) { found_.push_back({document_, std::move(text)}); }

  /// \returns The place as text: "teams/turnevo:models[0].model".
  [[nodiscard]] std::string ToString() const;

 private:
  std::string document_;
  std::vector<std::variant<std::string, std::size_t>> steps_;
  findings& found_;
};

/// \brief Joins the place of a value and the path of a member in it.
std::string JoinPlace(std::string_view place, std::string_view member);

/// \brief Enters a member of the current value for the lifetime of this object.
class place_scope {
 public:
  template <typename step>
  place_scope(document_place& place, step key) : place_(place) {
    place_.Push(std::move(key));
  }
  ~place_scope() { place_.Pop(); }
  place_scope(const place_scope&) = delete;
  place_scope& operator=(const place_scope&) = delete;

 private:
  document_place& place_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_DOCUMENT_PLACE_H_

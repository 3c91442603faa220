#include "src/settings/document_place.h"

namespace jacinthspool {
namespace {

std::string Indexed(std::size_t index) { return "[" + std::to_string(index) + "]"; }

}  // namespace

std::string JoinPlace(std::string_view place, std::string_view member) {
  std::string text(place);
  if (member.empty()) {
    return text;
  }
  const bool first = text.find(':') == std::string::npos;
  if (first) {
    text += ':';
  } else if (member.front() != '[') {
    text += '.';
  }
  text += member;
  return text;
}

void document_place::NextElement() {
  if (steps_.empty()) {
    return;
  }
  if (auto* index = std::get_if<std::size_t>(&steps_.back())) {
    ++*index;
  }
}

void document_place::Add(std::string_view member, std::string text) {
  found_.push_back({.place = JoinPlace(ToString(), member), .text = std::move(text)});
}

std::string document_place::ToString() const {
  std::string text = document_;
  for (const auto& step : steps_) {
    const auto* key = std::get_if<std::string>(&step);
    text = JoinPlace(text, key != nullptr ? *key : Indexed(std::get<std::size_t>(step)));
  }
  return text;
}

}  // namespace jacinthspool

#include "src/settings/settings_source.h"

#include <utility>
#include <variant>

#include "jacinthspool/impl/overloaded.h"
#include "src/settings/consul_source.h"
#include "src/settings/file_source.h"

namespace jacinthspool {

struct settings_source::state {
  std::variant<std::monostate, file_source, consul_source> source;
};

namespace {

bool IsService(const process_settings& process) {
  return process.source && process.source->kind == config::source_kind::consul;
}

}  // namespace

settings_source::settings_source(options settings) : state_(std::make_unique<state>()) {
  if (IsService(*settings.process)) {
    state_->source.emplace<consul_source>(std::move(settings));
  } else {
    state_->source.emplace<file_source>(settings.process_file, settings.store);
  }
}

settings_source::~settings_source() = default;

void settings_source::Reload() {
  std::visit(overloaded{[](std::monostate) {}, [](auto& source) { source.Reload(); }},
             state_->source);
}

std::uint64_t settings_source::calls() const {
  return std::visit(overloaded{[](const consul_source& source) { return source.calls(); },
                               [](const auto&) { return std::uint64_t{0}; }},
                    state_->source);
}

}  // namespace jacinthspool

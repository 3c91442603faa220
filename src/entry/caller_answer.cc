#include "src/entry/caller_answer.h"

#include <string_view>
#include <utility>

#include "jacinthspool/impl/overloaded.h"
#include "src/entry/service_call.h"

namespace jacinthspool {
namespace {

constexpr int kOk = 200;
constexpr const char* kRequestHeader = "X-Request-Id";

}  // namespace

caller_answer::caller_answer(std::shared_ptr<http_exchange> exchange, answer_form form,
                             request_id id)
    : exchange_(std::move(exchange)), form_(std::move(form)), id_(ToString(id)) {}

http_headers caller_answer::Headers(const char* content_type) const {
  return {{"Content-Type", content_type}, {kRequestHeader, id_}};
}

void caller_answer::Begin(streamed_answer& form) {
  if (form.started) {
    return;
  }
  form.started = true;
  http_headers headers = Headers("text/event-stream");
  headers.emplace_back("Cache-Control", "no-cache");
  exchange_->StartStream(kOk, headers);
  exchange_->SendChunk(form.format.Begin());
}

void caller_answer::Piece(const std::string& text) {
  std::visit(overloaded{
                 [&](buffered_answer& form) { form.text += text; },
                 [&](streamed_answer& form) {
                   Begin(form);
                   exchange_->SendChunk(form.format.Piece(text));
                 },
                 [](service_answer&) {},
             },
             form_);
}

void caller_answer::End(const deliver_end& end) {
  std::visit(overloaded{
                 [&](buffered_answer& form) {
                   exchange_->Reply(kOk, Headers("application/json"),
                                    form.format.Body(form.text, end));
                 },
                 [&](streamed_answer& form) {
                   Begin(form);
                   exchange_->SendChunk(form.format.End(end));
                   exchange_->EndStream();
                 },
                 [](service_answer&) {},
             },
             form_);
}

void caller_answer::Answer(const deliver_call& answer) {
  http_headers headers = AnswerHeaders(answer.headers);
  headers.emplace_back(kRequestHeader, id_);
  const std::string_view body(reinterpret_cast<const char*>(answer.body.data()),
                              answer.body.size());
  exchange_->Reply(answer.status, headers, body);
}

bool caller_answer::Fail(const api_error& error) {
  const auto* streamed = std::get_if<streamed_answer>(&form_);
  if (streamed == nullptr || !streamed->started) {
    ReplyError(*exchange_, error);
    return false;
  }
  exchange_->SendChunk(ErrorEvent(ErrorBody(error)));
  return true;
}

}  // namespace jacinthspool

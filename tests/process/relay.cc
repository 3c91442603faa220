#include "tests/process/relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <list>
#include <utility>

#include "src/transport/socket_address.h"

namespace jacinthspool::testing {
namespace {

constexpr int kBacklog = 128;
/// A paced link forwards its bytes in this many portions a second.
constexpr int kPortionsPerSecond = 50;

socket_address Parse(const std::string& address) {
  socket_address parsed;
  ParseSocketAddress(address, parsed);
  return parsed;
}

}  // namespace

struct relay::state {
  struct link {
    state& owner;
    bufferevent* caller = nullptr;
    bufferevent* target = nullptr;
  };

  event_base* base = nullptr;
  std::string target;
  std::string address;
  evconnlistener* listener = nullptr;
  std::list<link> links;
  bool cut = false;
  bool requests_stalled = false;
  bool replies_stalled = false;
  ev_token_bucket_cfg* pace = nullptr;  ///< Null: unlimited.
  bufferevent_rate_limit_group* paced = nullptr;
  std::array<int, 2> fillers{-1, -1};  ///< They keep the queue of new connections full.

  void Accept(evutil_socket_t descriptor);
  void FillQueue();
  void EmptyQueue();
  void Close(link& closed);
  void Apply(link& each) const;
  void Pace(std::size_t bytes_per_second);
  void ApplyAll() {
    for (link& each : links) {
      Apply(each);
    }
  }

  static void OnAccept(evconnlistener* /*listener*/, evutil_socket_t descriptor, sockaddr* /*from*/,
                       int /*length*/, void* self) {
    static_cast<state*>(self)->Accept(descriptor);
  }
  static void OnRead(bufferevent* side, void* context) {
    link& read = *static_cast<link*>(context);
    bufferevent* other = side == read.caller ? read.target : read.caller;
    bufferevent_write_buffer(other, bufferevent_get_input(side));
  }
  static void OnDrained(bufferevent* /*side*/, void* context) {
    link& closed = *static_cast<link*>(context);
    closed.owner.Close(closed);
  }
  static void OnEvent(bufferevent* side, std::int16_t what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    link& closed = *static_cast<link*>(context);
    bufferevent* other = side == closed.caller ? closed.target : closed.caller;
    if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
      closed.owner.Close(closed);
      return;
    }
    // Bytes that one side sent before it closed are still delivered to the other side.
    bufferevent_disable(side, EV_READ | EV_WRITE);
    bufferevent_setcb(other, OnRead, OnDrained, OnEvent, context);
  }
};

void relay::state::Accept(evutil_socket_t descriptor) {
  if (cut) {
    evutil_closesocket(descriptor);
    return;
  }
  links.push_back({*this});
  link& added = links.back();
  added.caller = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
  added.target = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(added.caller, OnRead, nullptr, OnEvent, &added);
  bufferevent_setcb(added.target, OnRead, nullptr, OnEvent, &added);
  const socket_address to = Parse(target);
  bufferevent_socket_connect(added.target, to.get(), to.length);
  if (paced != nullptr) {
    bufferevent_add_to_rate_limit_group(added.target, paced);
  }
  Apply(added);
}

void relay::state::Pace(std::size_t bytes_per_second) {
  for (link& each : links) {
    bufferevent_remove_from_rate_limit_group(each.target);
  }
  if (paced != nullptr) {
    bufferevent_rate_limit_group_free(std::exchange(paced, nullptr));
    ev_token_bucket_cfg_free(std::exchange(pace, nullptr));
  }
  if (bytes_per_second == 0) {
    return;
  }
  const std::size_t portion = bytes_per_second / kPortionsPerSecond;
  const timeval tick{.tv_sec = 0, .tv_usec = microseconds(seconds(1)).count() / kPortionsPerSecond};
  pace = ev_token_bucket_cfg_new(portion, portion, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
  paced = bufferevent_rate_limit_group_new(base, pace);
  for (link& each : links) {
    bufferevent_add_to_rate_limit_group(each.target, paced);
  }
}

void relay::state::FillQueue() {
  evconnlistener_disable(listener);
  listen(evconnlistener_get_fd(listener), 0);
  const socket_address at = Parse(address);
  for (int& filler : fillers) {
    if (filler < 0) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      (void)connect(filler, at.get(), static_cast<socklen_t>(at.length));
    }
  }
}

void relay::state::EmptyQueue() {
  if (fillers.front() < 0) {
    return;
  }
  for (int& filler : fillers) {
    close(std::exchange(filler, -1));
  }
  listen(evconnlistener_get_fd(listener), kBacklog);
  evconnlistener_enable(listener);
}

void relay::state::Apply(link& each) const {
  (requests_stalled ? bufferevent_disable : bufferevent_enable)(each.caller, EV_READ);
  (replies_stalled ? bufferevent_disable : bufferevent_enable)(each.target, EV_READ);
}

void relay::state::Close(link& closed) {
  bufferevent_remove_from_rate_limit_group(closed.target);
  bufferevent_free(closed.caller);
  bufferevent_free(closed.target);
  links.remove_if([&closed](const link& each) { return &each == &closed; });
}

relay::relay(test_environment& environment, std::string target)
    : relay(environment.loop(), environment.FreeAddress(), std::move(target)) {}

relay::relay(event_loop& loop, const std::string& address, std::string target)
    : state_(std::make_unique<state>()) {
  state_->base = loop.base();
  state_->target = std::move(target);
  state_->address = address;
  const socket_address at = Parse(address);
  state_->listener =
      evconnlistener_new_bind(state_->base, state::OnAccept, state_.get(),
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, at.get(), at.length);
  if (at.port() == 0) {
    state_->address =
        "127.0.0.1:" + std::to_string(LocalPort(evconnlistener_get_fd(state_->listener)));
  }
}

relay::~relay() {
  Cut();
  state_->Pace(0);
  state_->EmptyQueue();
  evconnlistener_free(state_->listener);
}

const std::string& relay::address() const { return state_->address; }

void relay::Cut() {
  state_->cut = true;
  while (!state_->links.empty()) {
    state_->Close(state_->links.front());
  }
}

void relay::Stall() {
  state_->requests_stalled = true;
  state_->replies_stalled = true;
  state_->ApplyAll();
}

void relay::StallRequests() {
  state_->requests_stalled = true;
  state_->replies_stalled = false;
  state_->ApplyAll();
}

void relay::StallReplies() {
  state_->requests_stalled = false;
  state_->replies_stalled = true;
  state_->ApplyAll();
}

void relay::PaceReplies(std::size_t bytes_per_second) { state_->Pace(bytes_per_second); }

void relay::IgnoreOpenings() { state_->FillQueue(); }

void relay::Heal() {
  state_->EmptyQueue();
  state_->cut = false;
  state_->requests_stalled = false;
  state_->replies_stalled = false;
  state_->ApplyAll();
}

}  // namespace jacinthspool::testing

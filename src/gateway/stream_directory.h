#ifndef JACINTHSPOOL_GATEWAY_STREAM_DIRECTORY_H_
#define JACINTHSPOOL_GATEWAY_STREAM_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/routing/origin_verdict.h"
#include "jacinthspool/routing/software_history.h"
#include "jacinthspool/routing/stream_origins.h"
#include "src/gateway/gateway_context.h"
#include "src/gateway/stream_messages.h"
#include "src/transport/datagram_socket.h"
#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief Finds out which software version began a stream that its caller takes up again.
///
/// The caller may come to any gateway, and the one that began the stream may be gone. From its
/// first event on, the origin of a stream is therefore known to the gateways that come first in the
/// rendezvous order of its id, which each gateway asks.
class stream_directory {
 public:
  explicit stream_directory(gateway_context& context)
      : context_(context), known_({}), history_({}) {}
  ~stream_directory();
  stream_directory(const stream_directory&) = delete;
  stream_directory& operator=(const stream_directory&) = delete;

  /// \brief Receives the messages of other gateways; without, this gateway knows only its own
  /// streams.
  /// \returns false and fills `error` when the address (ip:port) cannot be bound.
  bool Open(const std::string& address, std::string& error);

  /// \param members Addresses of all known gateways.
  void SetMembers(std::vector<std::string> members) { members_ = std::move(members); }

  /// \returns The versions that were published, which the owner updates with the list.
  [[nodiscard]] software_history& history() { return history_; }

  /// \brief The history has been confirmed.
  void OnListConfirmed();

  /// \brief A stream has sent its first event.
  /// \param id Of the caller's attempt that brought it.
  /// \param life How long its caller may take it up again.
  void OnBegun(const std::string& id, const stream_origin& origin, milliseconds life);

  /// \brief A request that goes on with a stream.
  struct resumption {
    std::string request = {};  ///< Id of the request.
    std::string stream = {};   ///< Id of the attempt that brought the first event; empty: unknown.
    std::string service = {};  ///< To which the route leads.
    microseconds oldest{};     ///< The stream is not older.
  };
  struct finding {
    origin_knowledge origin = {};
    std::size_t asked = 0;   ///< Other gateways.
    std::size_t silent = 0;  ///< Of these, without an answer.
    microseconds took{};
  };
  using on_found = std::function<void(const finding&, http1_responder)>;
  /// \brief Finds the origin. A request whose caller leaves meanwhile is dropped.
  /// \param then Called once, at once or within some hundred milliseconds.
  void Find(resumption wanted, http1_responder answer, on_found then);

  /// \returns Requests whose stream's origin is being asked for.
  [[nodiscard]] std::size_t waiting() const { return questions_.size(); }

 private:
  struct question {
    resumption wanted;
    std::uint64_t stream;
    http1_responder answer;
    on_found then;
    origin_verdict verdict;
    std::size_t others = 0;        ///< Gateways that are asked.
    std::set<std::string> silent;  ///< Gateways that have not answered.
    instant asked{};
    int asks = 0;  ///< Times that those who are silent have been asked.
    timer_subscription timer = {};
  };

  /// \returns The other gateways that come first in the rendezvous order of the stream.
  [[nodiscard]] std::vector<std::string> HomesOf(std::uint64_t stream, std::size_t most) const;
  /// \returns What this gateway knows of a stream that began in that period.
  [[nodiscard]] origin_knowledge Own(std::uint64_t stream, std::string_view service,
                                     const software_history::period& begun) const;
  /// \returns The same for the stream of a question.
  [[nodiscard]] origin_knowledge Own(const question& asked) const;
  void Ask(std::uint64_t number);
  /// \brief Asks those again that are silent, or gives up.
  void OnSilence(std::uint64_t number);
  void Conclude(std::uint64_t number);
  void OnDatagram(const std::string& from, std::string_view bytes);
  void OnMessage(const std::string& from, const stream_told& told);
  void OnMessage(const std::string& from, const stream_asked& asked);
  void OnMessage(const std::string& from, const stream_answered& answered);

  gateway_context& context_;
  std::string address_ = {};
  std::vector<std::string> members_ = {};
  stream_origins known_;
  software_history history_;
  std::unique_ptr<datagram_socket> socket_ = nullptr;
  std::map<std::uint64_t, question> questions_ = {};
  std::uint64_t last_question_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_STREAM_DIRECTORY_H_

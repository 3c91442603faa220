#ifndef JACINTHSPOOL_ROUTING_BYTE_BUDGET_H_
#define JACINTHSPOOL_ROUTING_BYTE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jacinthspool {

/// \brief What a gateway holds bytes of.
enum class held_kind : std::uint8_t {
  kIncoming,    ///< Requests that are being read, and what callers have sent beyond them.
  kRequest,     ///< Bodies of the requests in progress.
  kIncomplete,  ///< Bodies and events of answers that cannot be forwarded yet.
  kUnsent,      ///< Answers that callers have not read.
};
constexpr std::size_t kHeldKinds = 4;
std::string_view ToString(held_kind kind);

/// \brief Decides who may take more memory of the process: one limit for all requests together.
///
/// The load it answers: callers that read slowly, servers that answer slowly, and large bodies,
/// all at once. The answer of which most is held is the first that is not read on, and each caller
/// may always have a little, so that a slow one stops nobody else's answer. New large bodies wait
/// only while nothing is left.
class byte_budget {
 public:
  /// \brief Bytes that one part of a request holds; they are returned when it is destroyed.
  class holding {
   public:
    holding(byte_budget& budget, held_kind kind) : budget_(budget), kind_(kind) {}
    ~holding() { Set(0); }
    holding(const holding&) = delete;
    holding& operator=(const holding&) = delete;
    void Set(std::size_t bytes);

   private:
    byte_budget& budget_;
    held_kind kind_;
    std::size_t bytes_ = 0;
  };

  /// \param megabytes Of the process; 0: not known, so that each part has a limit of its own.
  void SetMemoryLimit(std::uint32_t megabytes);

  /// \brief Sets what is held of that kind in all.
  void Set(held_kind kind, std::size_t bytes) { held_[static_cast<std::size_t>(kind)] = bytes; }

  [[nodiscard]] std::size_t held(held_kind kind) const {
    return held_[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] std::size_t total() const;
  /// \returns Bytes for all kinds together; nothing: not known.
  [[nodiscard]] std::optional<std::size_t> limit() const { return limit_; }

  /// \param unsent Bytes of this answer that its caller has not read.
  /// \returns true when more of the answer may be read from its server.
  [[nodiscard]] bool MayReadAnswer(std::size_t unsent) const;
  /// \param length Bytes of a body of which none has been read; nothing: not known.
  /// \returns true when its reading may begin.
  [[nodiscard]] bool MayBeginBody(std::optional<std::uint64_t> length) const;
  /// \returns Bytes of an incomplete answer that are held before it is forwarded as it arrives.
  [[nodiscard]] std::size_t MaxIncompleteBody() const;
  /// \returns Bytes of an incomplete event above which its stream counts as truncated.
  [[nodiscard]] std::size_t MaxIncompleteEvent() const;

 private:
  [[nodiscard]] std::size_t room() const;
  /// \returns true when incomplete answers together take too much.
  [[nodiscard]] bool crowded() const;

  std::optional<std::size_t> limit_;
  std::array<std::size_t, kHeldKinds> held_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_BYTE_BUDGET_H_

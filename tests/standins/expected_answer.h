#ifndef JACINTHSPOOL_TESTS_STANDINS_EXPECTED_ANSWER_H_
#define JACINTHSPOOL_TESTS_STANDINS_EXPECTED_ANSWER_H_

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace jacinthspool::standins {

inline constexpr std::size_t kBytesPerToken = 4;
inline constexpr std::uint32_t kDefaultMaxTokens = 16;

/// \returns The prompt of a completion, or the prompt to which the messages of a chat are rendered.
inline std::string PromptOf(const nlohmann::json& request) {
  if (request.contains("prompt") && request["prompt"].is_string()) {
    return request["prompt"].get<std::string>();
  }
  std::string text;
  for (const nlohmann::json& message : request.value("messages", nlohmann::json::array())) {
    text += "<|" + message.value("role", "") + "|>\n" + message.value("content", "") + "\n";
  }
  return text + "<|assistant|>\n";
}

inline std::uint32_t TokensOf(std::string_view prompt) {
  return static_cast<std::uint32_t>((prompt.size() + kBytesPerToken - 1) / kBytesPerToken);
}

/// \returns The maximum number of output tokens of the request.
inline std::uint32_t MaxTokensOf(const nlohmann::json& request) {
  return request.value("max_completion_tokens", request.value("max_tokens", kDefaultMaxTokens));
}

/// \returns The hash that represents the KV cache of a prompt in the stand-ins.
inline std::uint64_t SeedOf(std::string_view prompt) {
  return XXH3_64bits(prompt.data(), prompt.size());
}

/// \returns One token of the answer: a word followed by a space.
inline std::string AnswerWord(std::uint64_t seed, std::uint32_t position) {
  constexpr std::string_view kConsonants = "bdfgklmnprstvz";
  constexpr std::string_view kVowels = "aeiou";
  constexpr int kSyllables = 2;
  std::uint64_t draw = XXH3_64bits_withSeed(&position, sizeof(position), seed);
  std::string word;
  for (int syllable = 0; syllable < kSyllables; ++syllable) {
    word += kConsonants[draw % kConsonants.size()];
    draw /= kConsonants.size();
    word += kVowels[draw % kVowels.size()];
    draw /= kVowels.size();
  }
  return word + " ";
}

/// \returns The complete answer to a prompt.
inline std::string ExpectedAnswer(std::string_view prompt, std::uint32_t tokens) {
  const std::uint64_t seed = SeedOf(prompt);
  std::string answer;
  for (std::uint32_t position = 0; position < tokens; ++position) {
    answer += AnswerWord(seed, position);
  }
  return answer;
}

}  // namespace jacinthspool::standins

#endif  // JACINTHSPOOL_TESTS_STANDINS_EXPECTED_ANSWER_H_

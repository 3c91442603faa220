#ifndef JACINTHSPOOL_TRANSPORT_HTTP_STATUS_H_
#define JACINTHSPOOL_TRANSPORT_HTTP_STATUS_H_

namespace jacinthspool::http_status {

/// \file
/// \brief HTTP status codes that the code refers to (RFC 9110, section 15).

inline constexpr int kContinue = 100;
inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kMultipleChoices = 300;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kInternalServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr int kLast = 599;  ///< The largest of a known class.

}  // namespace jacinthspool::http_status

#endif  // JACINTHSPOOL_TRANSPORT_HTTP_STATUS_H_

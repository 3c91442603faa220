// The library ships as a source file; this compiles it once. As a system
// header its warnings stay off.
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include): the library ships so

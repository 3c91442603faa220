#ifndef JACINTHSPOOL_JACINTHSPOOL_H_
#define JACINTHSPOOL_JACINTHSPOOL_H_

/// \file
/// \brief Includes the whole coordination library.

#include "jacinthspool/forward.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/impl/time.h"

#endif  // JACINTHSPOOL_JACINTHSPOOL_H_

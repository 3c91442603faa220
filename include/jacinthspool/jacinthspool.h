#ifndef JACINTHSPOOL_JACINTHSPOOL_H_
#define JACINTHSPOOL_JACINTHSPOOL_H_

/// \file
/// \brief Includes the whole coordination library.

#include "jacinthspool/forward.h"
#include "jacinthspool/impl/agent_core.h"
#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/backoff.h"
#include "jacinthspool/impl/decision.h"
#include "jacinthspool/impl/drain.h"
#include "jacinthspool/impl/entry_core.h"
#include "jacinthspool/impl/fair_share.h"
#include "jacinthspool/impl/grant_table.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/lease_clock.h"
#include "jacinthspool/impl/memory_ledger.h"
#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/impl/prefill_queue.h"
#include "jacinthspool/impl/prefix_view.h"
#include "jacinthspool/impl/rendezvous.h"
#include "jacinthspool/impl/retry_budget.h"
#include "jacinthspool/impl/run_ledger.h"
#include "jacinthspool/impl/seat_plan.h"
#include "jacinthspool/impl/stream_assembler.h"
#include "jacinthspool/impl/subset.h"
#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/backend_selector.h"
#include "jacinthspool/routing/configuration.h"
#include "jacinthspool/routing/event_splitter.h"
#include "jacinthspool/routing/extra_budget.h"
#include "jacinthspool/routing/load_shedder.h"
#include "jacinthspool/routing/member_estimate.h"
#include "jacinthspool/routing/next_step.h"
#include "jacinthspool/routing/output_estimate.h"
#include "jacinthspool/routing/route_table.h"
#include "jacinthspool/routing/seat_queue.h"
#include "jacinthspool/routing/stage_plan.h"

#endif  // JACINTHSPOOL_JACINTHSPOOL_H_

#ifndef SGR_QUOTA_MODEL_H
#define SGR_QUOTA_MODEL_H

#include "quota.h"

#define QUOTA_MODEL_NODES_MAX 300

/** enum quota_load_t - where the calls of the account arrive */
typedef enum
{
  QUOTA_LOAD_ALL = 0,
  QUOTA_LOAD_ONE,
  QUOTA_LOAD_MOVING,
  QUOTA_LOAD_PULSES,
} quota_load_t;

/** enum quota_fault_t - what happens at quota_model_t.fault_s */
typedef enum
{
  QUOTA_FAULT_NONE = 0,
  QUOTA_FAULT_KILL_LENDER,
  QUOTA_FAULT_KILL_ALL,
  QUOTA_FAULT_PARTITION_MINORITY,
  QUOTA_FAULT_PARTITION_MAJORITY,
  QUOTA_FAULT_PARTITION_RESTART,
  QUOTA_FAULT_FREEZE_LENDER,
  QUOTA_FAULT_LATE_FLEET,
  QUOTA_FAULT_LIMIT_TENTH,
} quota_fault_t;

/**
 * struct quota_model_t - a run of lenders and borrowers over a scripted network
 * @demand: calls per second of the account, over all nodes
 * @loss: share of messages that are lost; the same share is repeated, and delayed by up to 3 s
 * @not_run: share of calls that end as not-run, up to 4 s after their start
 * @is_undivided: every lender lends the whole limit
 * @seed: of all random numbers
 */
typedef struct
{
  const char *name;
  size_t nodes;
  uint32_t rate;
  uint32_t burst;
  double demand;
  quota_load_t load;
  quota_fault_t fault;
  double loss;
  double not_run;
  bool is_undivided;
  uint64_t seed;
} quota_model_t;

/**
 * struct quota_model_result_t - what was measured
 * @excess: most calls above the bound in a window, negative if there are always fewer
 * @share: share of min(demand, limit) that was admitted from 8 s to 20 s, before the fault
 * @fault_share: the same in the 10 s after the fault
 * @late_share: the same in the last 10 s; a partition ends at 35 s
 * @bytes_per_s: mean bytes of frames sent and received by a borrower, without headers of the
 * network
 * @lender_bytes_per_s: the same of the node with most
 * @retry_max_ms: longest time after which a refused caller is asked to return
 */
typedef struct
{
  double excess;
  double share;
  double fault_share;
  double late_share;
  double bytes_per_s;
  double lender_bytes_per_s;
  uint32_t retry_max_ms;
} quota_model_result_t;

quota_model_result_t quota_model_run (const quota_model_t *model);

#endif

#ifndef SGR_QUOTA_CHOICE_H
#define SGR_QUOTA_CHOICE_H

#include "result.h"
#include "types.h"

/* Lenders that are remembered as lost; a further one replaces the oldest. */
#define SGR_QUOTA_LOST_MAX 8

/**
 * struct sgr_quota_choice_t - nodes that may be chosen as the lender, and those that were lost;
 * zero-initialized, it is empty
 * @members: nodes that are alive or suspect
 * @member_count: entries of @members
 * @lost: nodes that did not answer, with the time at which they were lost
 * @lost_next: entry of @lost to be used next
 */
typedef struct
{
  sgr_node_id_t *members;
  size_t member_count;
  struct
  {
    sgr_node_id_t node;
    uint64_t time_us;
  } lost[SGR_QUOTA_LOST_MAX];
  size_t lost_next;
} sgr_quota_choice_t;

/** sgr_quota_choice_clear() - free the members */
void sgr_quota_choice_clear (sgr_quota_choice_t *choice);

/** sgr_quota_choice_members_set() - replace the members; they are copied */
void sgr_quota_choice_members_set (sgr_quota_choice_t *choice, const sgr_node_id_t *members,
                                   size_t count);

bool sgr_quota_choice_is_member (const sgr_quota_choice_t *choice, sgr_node_id_t node);

/** sgr_quota_choice_lost_add() - remember a node as lost */
void sgr_quota_choice_lost_add (sgr_quota_choice_t *choice, sgr_node_id_t node, uint64_t now_us);

/** sgr_quota_choice_is_lost() - whether a node was lost less than @since_us ago */
bool sgr_quota_choice_is_lost (const sgr_quota_choice_t *choice, sgr_node_id_t node,
                               uint64_t now_us, uint64_t since_us);

/** sgr_quota_choice_prefers() - whether all nodes prefer node @a to node @b as the lender */
bool sgr_quota_choice_prefers (sgr_node_id_t a, sgr_node_id_t b);

/** sgr_quota_choice_best() - preferred member among those that were not lost in the last 10 s, or
 * among all if all were lost; 0 without members */
sgr_node_id_t sgr_quota_choice_best (const sgr_quota_choice_t *choice, uint64_t now_us);

/** sgr_quota_choice_any() - a member that depends on a number; 0 without members */
sgr_node_id_t sgr_quota_choice_any (const sgr_quota_choice_t *choice, uint64_t number);

#endif

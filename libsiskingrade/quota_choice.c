#include "quota_choice.h"

#include <stdlib.h>
#include <string.h>

/* A lost lender is not chosen again for this time, unless no other is left. */
#define LOST_US (10 * SGR_USEC_PER_SEC)
/* The lender is the member with the highest hash of its id and this number. */
#define LENDER_HASH 0x71756f7461730001ULL

void
sgr_quota_choice_clear (sgr_quota_choice_t *choice)
{
  free (choice->members);
  choice->members = NULL;
  choice->member_count = 0;
}

void
sgr_quota_choice_members_set (sgr_quota_choice_t *choice, const sgr_node_id_t *members,
                              size_t count)
{
  sgr_node_id_t *copy = calloc (count + 1, sizeof *copy);

  sgr_invariant (copy != NULL);
  if (count > 0)
    memcpy (copy, members, count * sizeof *copy);
  free (choice->members);
  choice->members = copy;
  choice->member_count = count;
}

bool
sgr_quota_choice_is_member (const sgr_quota_choice_t *choice, sgr_node_id_t node)
{
  for (size_t i = 0; i < choice->member_count; i++)
    {
      if (choice->members[i] == node)
        return true;
    }
  return false;
}

void
sgr_quota_choice_lost_add (sgr_quota_choice_t *choice, sgr_node_id_t node, uint64_t now_us)
{
  choice->lost[choice->lost_next].node = node;
  choice->lost[choice->lost_next].time_us = now_us;
  choice->lost_next = (choice->lost_next + 1) % SGR_QUOTA_LOST_MAX;
}

bool
sgr_quota_choice_is_lost (const sgr_quota_choice_t *choice, sgr_node_id_t node, uint64_t now_us,
                          uint64_t since_us)
{
  for (size_t i = 0; i < SGR_QUOTA_LOST_MAX; i++)
    {
      if (choice->lost[i].node == node && choice->lost[i].time_us + since_us > now_us)
        return true;
    }
  return false;
}

static uint64_t
number_hash (uint64_t number)
{
  uint64_t hash = number ^ LENDER_HASH;

  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

bool
sgr_quota_choice_prefers (sgr_node_id_t a, sgr_node_id_t b)
{
  return number_hash (a) > number_hash (b);
}

sgr_node_id_t
sgr_quota_choice_best (const sgr_quota_choice_t *choice, uint64_t now_us)
{
  sgr_node_id_t best = 0;
  bool best_is_lost = true;

  for (size_t i = 0; i < choice->member_count; i++)
    {
      sgr_node_id_t node = choice->members[i];
      bool is_lost = sgr_quota_choice_is_lost (choice, node, now_us, LOST_US);

      if (best == 0 || (best_is_lost && !is_lost)
          || (best_is_lost == is_lost && sgr_quota_choice_prefers (node, best)))
        {
          best = node;
          best_is_lost = is_lost;
        }
    }
  return best;
}

sgr_node_id_t
sgr_quota_choice_any (const sgr_quota_choice_t *choice, uint64_t number)
{
  if (choice->member_count == 0)
    return 0;
  return choice->members[number_hash (number) % choice->member_count];
}

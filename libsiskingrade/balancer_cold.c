#include "balancer_internal.h"

/* Limits what this node sends to cold targets. A cold target accepts few requests per second from
   all nodes together, and its reports are older than the requests of other nodes. So each node
   sends at most its share, and nothing while the last report leaves no room. */

/* Part of the limit that the nodes use together. The attempts of many nodes come in bunches; the
   rest of the limit takes these up, so that few attempts are refused. */
#define SHARE_OF_LIMIT 0.8
/* Most attempts that a node may send at once out of its share. */
#define SHARE_MAX 1.0
/* Least age at which a report that shows a target as cold is discarded. Reports stop if the link to
   its gate is lost, and the target may be warm by then. */
#define REPORT_MAX_AGE_US (3 * SGR_USEC_PER_SEC)

void
sgr_balancer_cold_report_apply (sgr_balancer_entry_t *entry, const sgr_load_report_t *report)
{
  entry->cold.calls_per_s = report->cold_calls_per_s;
  entry->cold.starts_left
      = report->slots > report->in_flight ? report->slots - report->in_flight : 0;
}

/* Requests per second that a target accepts according to its last report. Without a report, a
   target that started recently counts as cold. Returns 0 if the target counts as warm. */
static uint32_t
limit_get (const sgr_balancer_t *b, const sgr_balancer_entry_t *entry, uint64_t now_us)
{
  uint64_t age_max_us
      = b->options.cold_start_us > REPORT_MAX_AGE_US ? b->options.cold_start_us : REPORT_MAX_AGE_US;

  if (entry->estimate.has_report)
    return now_us <= entry->estimate.report_made_us + age_max_us ? entry->cold.calls_per_s : 0;
  if (entry->slow_start_begin_us != 0
      && now_us < entry->slow_start_begin_us + b->options.cold_start_us)
    return b->options.cold_calls_per_s;
  return 0;
}

/* Adds to the share of this node what has accrued. The share begins at random, so that the nodes do
   not all send their first attempt at the same time. */
static void
share_accrue (sgr_balancer_t *b, sgr_balancer_cold_t *cold, uint64_t now_us, uint32_t limit)
{
  uint32_t entry_count = b->options.entry_count > 0 ? b->options.entry_count : 1;

  if (cold->share_time_us == 0)
    cold->share = SHARE_MAX * sgr_rng_uniform (&b->rng);
  else
    cold->share += SHARE_OF_LIMIT * limit / entry_count * (double)(now_us - cold->share_time_us)
                   / (double)SGR_USEC_PER_SEC;
  if (cold->share > SHARE_MAX)
    cold->share = SHARE_MAX;
  cold->share_time_us = now_us;
}

/* Requests that the target can start now, according to its last report, the room that its window
   has gained since, and the attempts that this node has sent since. */
static double
starts_left (const sgr_balancer_entry_t *entry, uint64_t now_us, uint32_t limit)
{
  double left = entry->cold.starts_left;

  if (!entry->estimate.has_report)
    return limit;
  if (now_us > entry->estimate.report_made_us)
    left += (double)limit * (double)(now_us - entry->estimate.report_made_us)
            / (double)SGR_USEC_PER_SEC;
  return (left < limit ? left : limit) - entry->estimate.unreported_count;
}

void
sgr_balancer_cold_attempt_start (sgr_balancer_t *b, sgr_balancer_entry_t *entry, uint64_t now_us)
{
  if (limit_get (b, entry, now_us) == 0)
    return;
  entry->cold.share = entry->cold.share > 1 ? entry->cold.share - 1 : 0;
}

/* Moves the candidates that are warm, or cold and accept an attempt, to the front; returns their
   number. @is_share_kept says whether this node keeps to its share. */
static size_t
accepting_partition (sgr_balancer_t *b, uint64_t now_us, size_t count, bool is_share_kept)
{
  size_t kept = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint32_t index = b->candidates[i];
      sgr_balancer_entry_t *entry = &b->entries[index];
      uint32_t limit = limit_get (b, entry, now_us);

      if (limit > 0)
        {
          share_accrue (b, &entry->cold, now_us, limit);
          if (starts_left (entry, now_us, limit) < 1 || (is_share_kept && entry->cold.share < 1))
            continue;
        }
      b->candidates[i] = b->candidates[kept];
      b->candidates[kept++] = index;
    }
  return kept;
}

size_t
sgr_balancer_cold_filter (sgr_balancer_t *b, uint64_t now_us, size_t count)
{
  size_t kept;

  if (b->options.cold_calls_per_s == 0)
    return count;
  kept = accepting_partition (b, now_us, count, true);
  if (kept < count)
    sgr_balancer_event_record (b, SGR_BALANCER_PICK_COLD_AVOIDED);
  if (kept == 0)
    kept = accepting_partition (b, now_us, count, false);
  return kept > 0 ? kept : count;
}

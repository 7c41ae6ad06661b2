#include "config_io.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_fetch.h"
#include "log.h"
#include "timer_heap.h"

/* Period of the timer that runs delayed calls and actions of the synchronisation that are due. Each
   of them runs up to one period late, so a new revision may take effect that much later. */
#define TICK_MS 20
/* Largest record or document of a peer. Documents of a source are limited by the store that they
   come from, which may take more than ours. */
#define FETCH_MAX_BYTES (2 * SGR_CONFIG_VALUE_MAX_BYTES)

/**
 * struct delayed_call_t - a function that sgr_config_commit_t wants to be called after a delay
 * @next: next entry of the list, which is not sorted
 * @due_us: monotonic time from which the function is called
 * @fire: the function
 * @ctx: passed to @fire
 */
typedef struct delayed_call_t
{
  struct delayed_call_t *next;
  uint64_t due_us;
  void (*fire) (void *ctx);
  void *ctx;
} delayed_call_t;

/** struct peer_fetch_t - a fetch of the configuration from @peer; unused while @call is NULL */
typedef struct
{
  sgr_config_io_t *io;
  sgr_node_id_t peer;
  sgr_http_fetch_t *call;
} peer_fetch_t;

struct sgr_config_io_t
{
  h2o_loop_t *loop;
  sgr_config_io_options_t options;
  sgr_config_io_callbacks_t callbacks;
  void *ctx;
  sgr_config_state_t *state;
  sgr_config_sync_t *sync;
  sgr_config_commit_t *commit;
  sgr_http_fetcher_t *fetcher;
  peer_fetch_t fetches[SGR_CONFIG_SYNC_FETCHES_MAX];
  bool is_next_fetch_full;        /* the next fetch requests a complete record, not a step */
  uint64_t highest_peer_revision; /* highest revision of a peer that was logged */
  uint64_t store_lost_us;         /* time of the first failed watch after the last answer, or 0 */
  uint64_t store_generation;      /* generation of the store at the last tick */
  sgr_store_call_t *watch;
  char watch_key[SGR_STORE_KEY_MAX + 1];
  uint64_t next_action_us;
  h2o_timeout_t tick;
  h2o_timeout_entry_t tick_entry;
  delayed_call_t *delayed_calls;
  sgr_config_io_stats_t stats;
};

static void run_actions (sgr_config_io_t *io);

void
sgr_config_io_options_init (sgr_config_io_options_t *options)
{
  memset (options, 0, sizeof *options);
  sgr_config_sync_options_init (&options->sync);
  options->history_max = 64;
  options->fetch_timeout_ms = 2000;
}

/* Logs the record that was put in force. @length and @took_us are its size as received and the time
   from its arrival, which a large one takes on a slow processor. */
static void
in_force_log (const sgr_config_io_t *io, size_t length, uint64_t took_us)
{
  const sgr_config_record_t *record = sgr_config_state_record (io->state);
  size_t route_count;

  sgr_config_state_routes (io->state, &route_count);
  sgr_log_info (
      "config-in-force", "revision=%lu change=%s services=%zu routes=%zu bytes=%zu took_ms=%lu",
      record->statement.revision, record->statement.id, sgr_config_state_service_count (io->state),
      route_count, length, sgr_ms_of (took_us));
}

/* Counts the entries of the record in force that are not carried out as written, and logs the
   first. */
static void
problems_report (sgr_config_io_t *io)
{
  const sgr_config_record_t *record = sgr_config_state_record (io->state);
  const sgr_config_problems_t *problems = &record->content->problems;

  io->stats.entries_unusable += problems->count;
  if (problems->count > 0)
    sgr_log_warn ("config-partial", "revision=%lu entries=%zu path=\"%s\" reason=\"%s\"",
                  record->statement.revision, problems->count, problems->list[0].path,
                  problems->list[0].message);
}

/* Offers a record or a step to the state, and counts and logs the result. A conflict,
   SGR_ERR_CONFLICT, is neither counted nor logged: it means that the revision is not higher, that
   the record does not descend from the one in force, or that the step starts from another
   revision. */
static sgr_result_t
config_offer (sgr_config_io_t *io, const void *text, size_t length, bool is_step,
              sgr_config_error_t *error)
{
  sgr_config_error_t offer_error = { SGR_OK };
  uint64_t start_us = sgr_clock_monotonic_us ();
  sgr_result_t result = is_step
                            ? sgr_config_state_offer_step (io->state, text, length, &offer_error)
                            : sgr_config_state_offer (io->state, text, length, &offer_error);
  uint64_t revision = sgr_config_state_revision (io->state);

  if (error != NULL)
    *error = offer_error;
  if (result == SGR_OK)
    {
      io->stats.records_applied++;
      io->stats.steps_applied += is_step;
      in_force_log (io, length, sgr_clock_monotonic_us () - start_us);
      problems_report (io);
      sgr_config_sync_revision_set (io->sync, sgr_clock_monotonic_us (), revision);
      if (io->callbacks.config_changed != NULL)
        io->callbacks.config_changed (io->ctx, io->state);
    }
  else if (result != SGR_ERR_CONFLICT)
    {
      io->stats.records_refused++;
      sgr_log_warn ("config-refused", "path=\"%s\" reason=\"%s\"", offer_error.path,
                    offer_error.message);
    }
  return result;
}

/* Logs when the store stops answering and when it answers again. */
static void
store_availability_update (sgr_config_io_t *io, bool is_available, const char *reason)
{
  uint64_t now_us = sgr_clock_monotonic_us ();

  if (is_available && io->store_lost_us != 0)
    {
      sgr_log_info ("store-regained", "after_ms=%lu", sgr_ms_of (now_us - io->store_lost_us));
      io->store_lost_us = 0;
    }
  else if (!is_available && io->store_lost_us == 0)
    {
      sgr_log_warn ("store-lost", "reason=\"%s\" config_revision=%lu",
                    reason != NULL ? reason : "not known", sgr_config_state_revision (io->state));
      io->store_lost_us = now_us;
    }
}

/* Logs and reports when the store was restored to an earlier state. */
static void
store_generation_update (sgr_config_io_t *io)
{
  uint64_t generation = io->options.store->generation;
  uint64_t former = io->store_generation;

  io->store_generation = generation;
  if (generation == former || former == 0)
    return;
  sgr_log_warn ("store-restored", "generation=%lu former=%lu config_revision=%lu", generation,
                former, sgr_config_state_revision (io->state));
  if (io->callbacks.store_restored != NULL)
    io->callbacks.store_restored (io->ctx);
}

static void
on_watch_done (void *ctx, const sgr_store_reply_t *reply)
{
  sgr_config_io_t *io = ctx;

  io->watch = NULL;
  store_availability_update (io, reply->outcome == SGR_STORE_OK, reply->reason);
  if (reply->outcome == SGR_STORE_OK && reply->value != NULL)
    config_offer (io, reply->value, reply->length, false, NULL);
  sgr_config_sync_watch_done (io->sync, sgr_clock_monotonic_us (), reply->outcome == SGR_STORE_OK,
                              (sgr_store_version_t){ reply->generation, reply->version },
                              reply->retry_after_ms);
  run_actions (io);
}

static void
on_fetch_progress (void *ctx)
{
  const peer_fetch_t *fetch = ctx;

  sgr_config_sync_fetch_progress (fetch->io->sync, sgr_clock_monotonic_us (), fetch->peer);
}

static void
on_fetch_done (void *ctx, const sgr_http_fetch_reply_t *reply)
{
  peer_fetch_t *fetch = ctx;
  sgr_config_io_t *io = fetch->io;
  /* got[0] is the header "config-step" that start_fetch() requested; it is 1 for a step. */
  bool is_step = reply->got[0][0] == '1', ok = reply->error == NULL && reply->status == 200;

  fetch->call = NULL;
  io->stats.fetch_bytes += reply->length;
  if (!ok)
    sgr_log_warn ("config-fetch-failed", "reason=\"%s\" status=%d",
                  reply->error != NULL ? reply->error : "unexpected status", reply->status);
  if (ok)
    {
      sgr_result_t result = config_offer (io, reply->body, reply->length, is_step, NULL);

      ok = result == SGR_OK || result == SGR_ERR_CONFLICT;
      /* If a step was refused, the next fetch requests the complete record. One reason is a step
         that does not lead to the approved content. */
      io->is_next_fetch_full = is_step && !ok;
    }
  sgr_config_sync_fetch_done (io->sync, sgr_clock_monotonic_us (), fetch->peer, ok);
  run_actions (io);
}

static void
start_fetch (sgr_config_io_t *io, const sgr_config_sync_action_t *action)
{
  sgr_http_fetch_request_t request = { .address = action->address, .method = "GET" };
  uint64_t revision = sgr_config_state_revision (io->state);
  peer_fetch_t *fetch = &io->fetches[0];
  char path[64];

  /* An unused element exists, because the synchronisation allows no more than
     SGR_CONFIG_SYNC_FETCHES_MAX open fetches. */
  while (fetch->call != NULL)
    fetch++;

  if (revision > 0 && !io->is_next_fetch_full)
    snprintf (path, sizeof path, "/v1/config/raw?from=%llu", (unsigned long long)revision);
  else
    snprintf (path, sizeof path, "/v1/config/raw");
  request.path = path;
  request.want[0] = "config-step";
  request.progress = on_fetch_progress;
  fetch->peer = action->peer;
  fetch->call = sgr_http_fetch_start (io->fetcher, &request, on_fetch_done, fetch);
}

static void
start_watch (sgr_config_io_t *io, const sgr_config_sync_action_t *action)
{
  if (io->options.store != NULL)
    io->watch = io->options.store->watch (io->options.store, io->watch_key, action->after,
                                          action->wait_ms, on_watch_done, io);
  /* io->watch is NULL if there is no store or the store refused the call. on_watch_done() does not
     run in these cases, so the failure is reported here. */
  if (io->watch == NULL)
    sgr_config_sync_watch_done (io->sync, sgr_clock_monotonic_us (), false,
                                (sgr_store_version_t){ 0 }, 0);
}

/* Runs all actions of the synchronisation that are due. */
static void
run_actions (sgr_config_io_t *io)
{
  sgr_config_sync_action_t action;

  while (sgr_config_sync_next (io->sync, sgr_clock_monotonic_us (), &action, &io->next_action_us))
    switch (action.kind)
      {
      case SGR_CONFIG_SYNC_WATCH:
        start_watch (io, &action);
        break;
      case SGR_CONFIG_SYNC_WATCH_CANCEL:
        if (io->watch != NULL)
          io->options.store->cancel (io->options.store, io->watch);
        io->watch = NULL;
        break;
      case SGR_CONFIG_SYNC_FETCH:
        start_fetch (io, &action);
        break;
      case SGR_CONFIG_SYNC_NONE:
        break;
      }
}

static void
delayed_calls_run (sgr_config_io_t *io, uint64_t now_us)
{
  delayed_call_t **link = &io->delayed_calls;

  while (*link != NULL)
    {
      delayed_call_t *delayed_call = *link;

      if (delayed_call->due_us > now_us)
        {
          link = &delayed_call->next;
          continue;
        }
      *link = delayed_call->next;
      delayed_call->fire (delayed_call->ctx);
      free (delayed_call);
      /* The function may have added calls at the head of the list, so start over. */
      link = &io->delayed_calls;
    }
}

static void
on_tick (h2o_timeout_entry_t *entry)
{
  sgr_config_io_t *io = H2O_STRUCT_FROM_MEMBER (sgr_config_io_t, tick_entry, entry);
  uint64_t now_us = sgr_clock_monotonic_us ();

  h2o_timeout_link (io->loop, &io->tick, &io->tick_entry);
  delayed_calls_run (io, now_us);
  if (io->options.store != NULL)
    store_generation_update (io);
  if (now_us >= io->next_action_us)
    run_actions (io);
}

static void
commit_offer_record (void *ctx, const void *text, size_t length)
{
  config_offer (ctx, text, length, false, NULL);
}

static const sgr_config_record_t *
commit_record_in_force (void *ctx)
{
  return sgr_config_state_record (((sgr_config_io_t *)ctx)->state);
}

static void
commit_start_delay (void *ctx, uint32_t delay_ms, void (*fire) (void *fire_ctx), void *fire_ctx)
{
  sgr_config_io_t *io = ctx;
  delayed_call_t *delayed_call = calloc (1, sizeof *delayed_call);

  sgr_invariant (delayed_call != NULL);
  delayed_call->due_us = sgr_clock_monotonic_us () + delay_ms * SGR_USEC_PER_MSEC;
  delayed_call->fire = fire;
  delayed_call->ctx = fire_ctx;
  delayed_call->next = io->delayed_calls;
  io->delayed_calls = delayed_call;
}

sgr_config_io_t *
sgr_config_io_create (h2o_loop_t *loop, const sgr_config_io_options_t *options,
                      const sgr_config_io_callbacks_t *callbacks, void *ctx)
{
  static const sgr_config_commit_callbacks_t commit_callbacks
      = { commit_offer_record, commit_record_in_force, commit_start_delay };
  sgr_config_io_t *io = calloc (1, sizeof *io);

  if (io == NULL)
    return NULL;
  sgr_invariant (sodium_init () >= 0);
  io->loop = loop;
  io->options = *options;
  io->callbacks = *callbacks;
  io->ctx = ctx;
  io->state = sgr_config_state_create (&options->owners, options->history_max);
  io->sync = sgr_config_sync_create (&options->sync, sgr_clock_monotonic_us ());
  io->fetcher = sgr_http_fetcher_create (loop, options->fetch_timeout_ms, FETCH_MAX_BYTES);
  if (options->source != NULL)
    sgr_config_state_source_set (io->state, options->source);
  if (options->store != NULL && options->source == NULL)
    io->commit = sgr_config_commit_create (&options->owners, options->store, options->seed,
                                           &commit_callbacks, io);
  if (options->source != NULL)
    snprintf (io->watch_key, sizeof io->watch_key, "%s", options->source->key);
  else
    sgr_config_commit_current_key (options->owners.deployment, io->watch_key, sizeof io->watch_key);
  for (size_t i = 0; i < SGR_CONFIG_SYNC_FETCHES_MAX; i++)
    io->fetches[i].io = io;
  h2o_timeout_init (loop, &io->tick, TICK_MS);
  io->tick_entry.cb = on_tick;
  h2o_timeout_link (loop, &io->tick, &io->tick_entry);
  return io;
}

void
sgr_config_io_destroy (sgr_config_io_t *io)
{
  if (io == NULL)
    return;
  h2o_timeout_unlink (&io->tick_entry);
  h2o_timeout_dispose (io->loop, &io->tick);
  if (io->watch != NULL)
    io->options.store->cancel (io->options.store, io->watch);
  while (io->delayed_calls != NULL)
    {
      delayed_call_t *delayed_call = io->delayed_calls;

      io->delayed_calls = delayed_call->next;
      free (delayed_call);
    }
  sgr_config_commit_destroy (io->commit);
  sgr_http_fetcher_destroy (io->fetcher);
  sgr_config_sync_destroy (io->sync);
  sgr_config_state_destroy (io->state);
  free (io);
}

/* Logs a revision above the one in force when the first peer reports it. */
static void
peer_revision_log (sgr_config_io_t *io, const sgr_member_t *member)
{
  uint64_t in_force = sgr_config_state_revision (io->state);

  if (member->config_revision <= in_force || member->config_revision <= io->highest_peer_revision)
    return;
  io->highest_peer_revision = member->config_revision;
  sgr_log_info ("config-news", "revision=%lu peer=%s in_force=%lu", io->highest_peer_revision,
                member->name, in_force);
}

void
sgr_config_io_member_changed (sgr_config_io_t *io, const sgr_member_t *member)
{
  if (member->status != SGR_MEMBER_ALIVE || member->config_revision == 0)
    return;
  peer_revision_log (io, member);
  sgr_config_sync_peer_revision_update (io->sync, sgr_clock_monotonic_us (), member->id,
                                        &member->control_address, member->config_revision);
  run_actions (io);
}

void
sgr_config_io_members_update (sgr_config_io_t *io, const sgr_member_t *members, size_t count)
{
  sgr_config_sync_members_update (io->sync, sgr_clock_monotonic_us (), members, count);
  run_actions (io);
}

const sgr_config_state_t *
sgr_config_io_state (const sgr_config_io_t *io)
{
  return io->state;
}

const sgr_config_io_stats_t *
sgr_config_io_stats (const sgr_config_io_t *io)
{
  /* sgr_config_commit_t counts the writes whose reply was lost; copy its count. */
  sgr_config_io_t *mutable_io = (sgr_config_io_t *)io;

  if (io->commit != NULL)
    mutable_io->stats.store_writes_unknown = sgr_config_commit_unknown_write_count (io->commit);
  return &io->stats;
}

const sgr_config_sync_stats_t *
sgr_config_io_sync_stats (const sgr_config_io_t *io)
{
  return sgr_config_sync_stats (io->sync);
}

bool
sgr_config_io_is_reader (const sgr_config_io_t *io)
{
  return sgr_config_sync_is_reader (io->sync);
}

sgr_config_commit_t *
sgr_config_io_commit_get (sgr_config_io_t *io)
{
  return io->commit;
}

#include "control_config.h"

#include <stdlib.h>
#include <string.h>

#include "config_api.h"
#include "control_contacts.h"
#include "control_departures.h"
#include "control_evacuation.h"

struct sgr_control_config_t
{
  sgr_control_t *control;
  sgr_store_t *store;
  sgr_config_io_t *io;
  sgr_config_api_t *api;
};

static void
on_config_changed (void *ctx, const sgr_config_state_t *state)
{
  sgr_control_config_t *config = ctx;
  size_t routes;

  sgr_config_state_routes (state, &routes);
  if (config->control->settings->are_services_named && routes > 0)
    sgr_log_warn ("routes-not-used", "revision=%lu routes=%zu routing=by-service",
                  sgr_config_state_revision (state), routes);
  sgr_control_self_update (config->control);
  /* Sent without delay: changes of the configuration are rare, and each must be in force on all
     nodes within seconds. */
  sgr_control_snapshot_now (config->control);
  sgr_config_api_notify (config->api);
}

static void
on_store_restored (void *ctx)
{
  sgr_control_config_t *config = ctx;

  sgr_control_contacts_renew (config->control->contacts);
  sgr_control_departures_renew (config->control->departures);
}

static size_t
members_list (void *ctx, const sgr_member_t **members)
{
  const sgr_control_t *control = ctx;

  *members = control->members;
  return control->member_count;
}

static const sgr_evacuation_t *
evacuation_get (void *ctx)
{
  return sgr_control_evacuation_set (((const sgr_control_t *)ctx)->evacuation);
}

sgr_control_config_t *
sgr_control_config_create (sgr_control_t *control, h2o_hostconf_t *host)
{
  static const sgr_config_io_callbacks_t callbacks
      = { .config_changed = on_config_changed, .store_restored = on_store_restored };
  const sgr_settings_t *settings = control->settings;
  sgr_control_config_t *config = calloc (1, sizeof *config);
  sgr_config_io_options_t options;

  sgr_invariant (config != NULL);
  config->control = control;
  if (settings->store.port != 0)
    config->store = control->adapter->store_create (control->loop, settings);
  sgr_config_io_options_init (&options);
  memcpy (options.owners.deployment, settings->deployment, sizeof options.owners.deployment);
  memcpy (options.owners.owner, settings->owners, sizeof options.owners.owner);
  options.sync.self = sgr_node_id_of (settings->name);
  options.sync.seed = control->boot;
  memcpy (options.sync.failure_domain, settings->failure_domain,
          sizeof options.sync.failure_domain);
  options.sync.start_delay_ms = (uint32_t)settings->store_delay_ms;
  options.sync.readers = (uint32_t)settings->store_readers;
  options.sync.watch_ms = (uint32_t)settings->store_watch_ms;
  options.sync.watch_interval_ms = (uint32_t)settings->store_watch_interval_ms;
  options.sync.backoff_max_ms = (uint32_t)settings->store_retry_max_ms;
  options.source = control->adapter->config;
  memcpy (options.node, settings->name, sizeof options.node);
  options.store = config->store;
  options.seed = control->boot;
  config->io = sgr_config_io_create (control->loop, &options, &callbacks, config);
  sgr_invariant (config->io != NULL);
  config->api = sgr_config_api_create (host, config->io, members_list, control);
  sgr_config_api_evacuation_setup (config->api, evacuation_get, control);
  sgr_config_api_routing_setup (config->api, sgr_settings_routing_name (settings));
  return config;
}

void
sgr_control_config_destroy (sgr_control_config_t *config)
{
  if (config == NULL)
    return;
  /* The API is not destroyed here: it belongs to the HTTP context, which exists until the process
     ends. */
  sgr_config_io_destroy (config->io);
  if (config->store != NULL)
    config->control->adapter->store_destroy (config->store);
  free (config);
}

const sgr_config_state_t *
sgr_control_config_state (const sgr_control_config_t *config)
{
  return sgr_config_io_state (config->io);
}

sgr_store_t *
sgr_control_config_store (const sgr_control_config_t *config)
{
  return config->store;
}

void
sgr_control_config_member_changed (sgr_control_config_t *config, const sgr_member_t *member)
{
  sgr_config_io_member_changed (config->io, member);
}

void
sgr_control_config_members_update (sgr_control_config_t *config, const sgr_member_t *members,
                                   size_t count)
{
  sgr_config_io_members_update (config->io, members, count);
}

void
sgr_control_config_metrics_print (const sgr_control_config_t *config, sgr_buffer_t *text)
{
  const sgr_config_io_stats_t *stats = sgr_config_io_stats (config->io);
  const sgr_config_sync_stats_t *sync = sgr_config_io_sync_stats (config->io);
  const struct
  {
    const char *name;
    const char *type;
    uint64_t value;
  } rows[] = {
    { "config_revision", "gauge", sgr_config_state_revision (sgr_config_io_state (config->io)) },
    { "config_reader", "gauge", sgr_config_io_is_reader (config->io) ? 1 : 0 },
    { "config_records_taken_total", "counter", stats->records_applied },
    { "config_records_refused_total", "counter", stats->records_refused },
    { "config_entries_unusable_total", "counter", stats->entries_unusable },
    { "config_parts_read_total", "counter",
      sgr_config_state_parts_read (sgr_config_io_state (config->io)) },
    { "config_fetch_bytes_total", "counter", stats->fetch_bytes },
    { "config_fetches_total", "counter", sync->fetches },
    { "config_fetch_failures_total", "counter", sync->fetch_failures },
    { "store_watch_calls_total", "counter", sync->store_calls },
    { "store_failures_total", "counter", sync->store_failures },
    { "store_generation", "gauge", config->store != NULL ? config->store->generation : 0 },
    { "store_calls_total", "counter", config->store != NULL ? config->store->calls : 0 },
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    sgr_buffer_printf (text, "# TYPE siskingrade_%s %s\nsiskingrade_%s %lu\n", rows[i].name,
                       rows[i].type, rows[i].name, rows[i].value);
}

#include "settings.h"

#include <stdio.h>
#include <string.h>

#include "config_resource.h"
#include "ctl_keys.h"
#include "label.h"
#include "yaml_reader.h"

#define KIB 1024ULL
#define MIB (1024ULL * KIB)
/* Memory that is left to everything but buffers where the limit of the process is known: program,
   tables of the gate, membership, configuration, and what the allocators keep. A node of the size
   to design for takes 39 MB without buffers (docs/CAPACITY.md). */
#define MEMORY_REST_MIB 48

static void
defaults_set (sgr_settings_t *settings)
{
  *settings = (sgr_settings_t){
    .log_level = SGR_LOG_INFO,
    .request_body_max_bytes = 1 * MIB,
    .answer_buffer_bytes = 64 * KIB,
    .calls_max = 10000,
    .announce_ttl_ms = 3000,
    .store_delay_ms = 2000,
    .store_readers = 2,
    .store_watch_ms = 55000,
    .store_retry_max_ms = 15000,
    .leave_delay_ms = 0,
    .drain_timeout_ms = 60000,
    .heartbeat_ms = 250,
    .silence_ms = 1000,
    .membership_bytes_per_s = 5000,
    .quota_window_ms = 5000,
    .memory_share_percent = 50,
    .connections_max = 10000,
    .head_timeout_ms = 5000,
    .stall_timeout_ms = 20000,
  };
}

/* Counts the different names in the list of the deployment's regions. */
static void
read_regions (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  sgr_yaml_node_t list = sgr_yaml_get (yaml, node, "regions");
  bool has_own = false;

  if (list == 0)
    return;
  for (size_t i = 0; i < sgr_yaml_count (yaml, list); i++)
    {
      const char *name = sgr_yaml_scalar (yaml, sgr_yaml_item (yaml, list, i));
      bool is_repeated = false;

      if (name == NULL || !sgr_label_is_valid (name))
        {
          sgr_yaml_error (yaml, list, "node.regions", "expected a list of names");
          return;
        }
      for (size_t j = 0; j < i && !is_repeated; j++)
        is_repeated = strcmp (name, sgr_yaml_scalar (yaml, sgr_yaml_item (yaml, list, j))) == 0;
      settings->region_count += !is_repeated;
      has_own = has_own || strcmp (name, settings->region) == 0;
    }
  if (!sgr_yaml_is_sequence (yaml, list) || !has_own)
    sgr_yaml_error (yaml, list, "node.regions", "expected a list of names with node.region");
}

/* Reads the name of the local service, which may be longer than a label. */
static void
read_service (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  sgr_yaml_node_t value = sgr_yaml_get (yaml, node, "service");
  const char *text = sgr_yaml_scalar (yaml, value);
  size_t length = text != NULL ? strlen (text) : 0;

  if (value == 0)
    return;
  if (length == 0 || length > SGR_SETTINGS_SERVICE_MAX
      || strspn (text, SGR_LABEL_CHARACTERS) != length)
    {
      sgr_yaml_error (yaml, value, "node.service",
                      "expected a name of 1 to %d letters, digits, '-', '_', '.'",
                      SGR_SETTINGS_SERVICE_MAX);
      return;
    }
  memcpy (settings->service, text, length + 1);
}

static void
read_node (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  static const char *const keys[]
      = { "deployment", "name", "service", "region", "regions", "failure_domain", NULL };
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "node");

  if (!sgr_yaml_mapping_check (yaml, node, "node", keys))
    return;
  sgr_yaml_name_read (yaml, node, "deployment", "node", true, settings->deployment);
  sgr_yaml_name_read (yaml, node, "name", "node", true, settings->name);
  read_service (settings, yaml, node);
  sgr_yaml_name_read (yaml, node, "region", "node", true, settings->region);
  sgr_yaml_name_read (yaml, node, "failure_domain", "node", true, settings->failure_domain);
  read_regions (settings, yaml, node);
}

static bool
same_address (const sgr_address_t *a, const sgr_address_t *b)
{
  return a->ip == b->ip && a->port == b->port;
}

/* Reads the addresses at which targets confirm that they run, "IP:FIRST-LAST". */
static void
read_confirm (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t listen)
{
  sgr_yaml_node_t node = sgr_yaml_get (yaml, listen, "confirm");
  const char *text = sgr_yaml_scalar (yaml, node);
  const char *dash = text != NULL ? strchr (text, '-') : NULL;
  char first[32], last[48];
  sgr_address_t address = { 0 };

  if (node == 0)
    return;
  if (dash == NULL || (size_t)(dash - text) >= sizeof first)
    {
      sgr_yaml_error (yaml, node, "listen.confirm", "expected IP:FIRST-LAST");
      return;
    }
  snprintf (first, sizeof first, "%.*s", (int)(dash - text), text);
  /* The second port is read as that of an address, so that both take the same numbers. */
  snprintf (last, sizeof last, "0.0.0.0:%.8s", dash + 1);
  if (!sgr_address_parse (first, &settings->confirm) || !sgr_address_parse (last, &address)
      || address.port < settings->confirm.port)
    sgr_yaml_error (yaml, node, "listen.confirm", "expected IP:FIRST-LAST");
  settings->confirm_last = address.port;
}

static void
read_listen (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  static const char *const keys[]
      = { "callers", "peers", "control", "ready", "targets", "confirm", "metrics", NULL };
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "listen");

  if (!sgr_yaml_mapping_check (yaml, node, "listen", keys))
    return;
  if (!sgr_yaml_address_read (yaml, node, "callers", "listen", true, &settings->callers)
      || !sgr_yaml_address_read (yaml, node, "peers", "listen", true, &settings->peers)
      || !sgr_yaml_address_read (yaml, node, "control", "listen", true, &settings->control))
    return;
  sgr_yaml_address_read (yaml, node, "ready", "listen", false, &settings->ready);
  sgr_yaml_address_read (yaml, node, "metrics", "listen", false, &settings->metrics);
  sgr_yaml_address_read (yaml, node, "targets", "listen", false, &settings->targets);
  read_confirm (settings, yaml, node);
  if (same_address (&settings->callers, &settings->peers))
    sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, "peers"), "listen.peers",
                    "duplicate of listen.callers");
  if (same_address (&settings->control, &settings->callers)
      || same_address (&settings->control, &settings->peers))
    sgr_yaml_error (yaml, sgr_yaml_get (yaml, node, "control"), "listen.control",
                    "duplicate of another listen address");
}

static void
read_advertise (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  static const char *const keys[] = { "peers", NULL };
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "advertise");

  settings->advertised_peers = settings->peers;
  if (node == 0 || !sgr_yaml_mapping_check (yaml, node, "advertise", keys))
    return;
  sgr_yaml_address_read (yaml, node, "peers", "advertise", false, &settings->advertised_peers);
}

static void
read_contacts (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "contacts");
  size_t count = sgr_yaml_count (yaml, node);

  if (node == 0)
    return;
  if (!sgr_yaml_is_sequence (yaml, node) || count > SGR_SETTINGS_CONTACTS_MAX)
    {
      sgr_yaml_error (yaml, node, "contacts", "expected a list of at most %d IP:PORT",
                      SGR_SETTINGS_CONTACTS_MAX);
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      sgr_yaml_node_t item = sgr_yaml_item (yaml, node, i);
      const char *text = sgr_yaml_scalar (yaml, item);

      if (text == NULL || !sgr_address_parse (text, &settings->contacts[i]))
        sgr_yaml_error (yaml, item, "contacts", "found \"%.80s\", expected IP:PORT",
                        text != NULL ? text : "");
      for (size_t j = 0; j < i; j++)
        {
          if (same_address (&settings->contacts[i], &settings->contacts[j]))
            sgr_yaml_error (yaml, item, "contacts", "duplicate of an earlier contact");
        }
    }
  settings->contact_count = count;
}

static void
read_owner (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t item, size_t index)
{
  static const char *const keys[] = { "name", "public_key", NULL };
  sgr_config_owner_t *owner = &settings->owners[index];
  sgr_yaml_node_t key_node = sgr_yaml_get (yaml, item, "public_key");
  const char *hex = sgr_yaml_scalar (yaml, key_node);

  if (!sgr_yaml_mapping_check (yaml, item, "owners", keys))
    return;
  sgr_yaml_name_read (yaml, item, "name", "owners", true, owner->name);
  if (hex == NULL || !sgr_ctl_keys_parse_public (hex, owner->key))
    sgr_yaml_error (yaml, key_node != 0 ? key_node : item, "owners.public_key",
                    "expected the content of a .pub file, or its %zu hexadecimal digits",
                    2 * sizeof owner->key);
}

/* Reads one of two words; @is_other keeps its value if the key is absent, and else tells whether it
   is
   @other. */
static void
read_choice (sgr_yaml_t *yaml, sgr_yaml_node_t root, const char *key, const char *usual,
             const char *other, bool *is_other)
{
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, key);
  const char *text = sgr_yaml_scalar (yaml, node);

  if (node == 0)
    return;
  *is_other = text != NULL && strcmp (text, other) == 0;
  if (!*is_other && (text == NULL || strcmp (text, usual) != 0))
    sgr_yaml_error (yaml, node, key, "expected %s or %s", usual, other);
}

const char *
sgr_settings_routing_name (const sgr_settings_t *settings)
{
  return settings->are_services_named ? "by-service" : "by-route";
}

static void
read_owners (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "owners");

  if (settings->is_approved_outside)
    {
      if (node != 0)
        sgr_yaml_error (yaml, node, "owners", "expected none with \"approval: outside\"");
      return;
    }
  if (!sgr_yaml_is_sequence (yaml, node) || sgr_yaml_count (yaml, node) != SGR_CONFIG_OWNER_COUNT)
    {
      sgr_yaml_error (yaml, node != 0 ? node : root, "owners", "expected a list of %d co-owners",
                      SGR_CONFIG_OWNER_COUNT);
      return;
    }
  for (size_t i = 0; i < SGR_CONFIG_OWNER_COUNT; i++)
    read_owner (settings, yaml, sgr_yaml_item (yaml, node, i), i);
  if (strcmp (settings->owners[0].name, settings->owners[1].name) == 0)
    sgr_yaml_error (yaml, node, "owners.name", "duplicate name");
  if (memcmp (settings->owners[0].key, settings->owners[1].key, SGR_CONFIG_KEY_BYTES) == 0)
    sgr_yaml_error (yaml, node, "owners.public_key", "both co-owners have the same key");
}

static void
read_pem_path (sgr_yaml_t *yaml, sgr_yaml_node_t node, const char *key, char *path)
{
  sgr_yaml_node_t value = sgr_yaml_get (yaml, node, key);
  const char *text = sgr_yaml_scalar (yaml, value);
  FILE *file;

  if (text == NULL || text[0] == '\0' || strlen (text) > SGR_SETTINGS_PATH_MAX)
    {
      sgr_yaml_error (yaml, value != 0 ? value : node, key, "expected the path of a PEM file");
      return;
    }
  file = fopen (text, "r");
  if (file == NULL)
    {
      sgr_yaml_error (yaml, value, key, "the file \"%s\" cannot be opened", text);
      return;
    }
  fclose (file);
  memcpy (path, text, strlen (text) + 1);
}

static void
read_tls (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  static const char *const keys[] = { "certificate", "key", NULL };
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "tls");

  if (node == 0 || !sgr_yaml_mapping_check (yaml, node, "tls", keys))
    return;
  read_pem_path (yaml, node, "certificate", settings->tls_certificate);
  read_pem_path (yaml, node, "key", settings->tls_key);
}

static void
read_log (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  static const char *const keys[] = { "level", NULL };
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "log");
  const char *text;

  if (node == 0 || !sgr_yaml_mapping_check (yaml, node, "log", keys))
    return;
  text = sgr_yaml_scalar (yaml, sgr_yaml_get (yaml, node, "level"));
  if (text == NULL || !sgr_log_level_parse (text, &settings->log_level))
    sgr_yaml_error (yaml, node, "log.level", "expected error, warn, info or debug");
}

/* Sets the budget of a document that does not state one: what the limit of the process leaves, at
   least a quarter of it; 1 GiB if no limit is known. */
static void
memory_budget_derive (sgr_settings_t *settings)
{
  uint64_t mib = 1024;

  if (settings->memory_budget_bytes != 0)
    return;
  if (settings->memory_mb != 0)
    {
      mib = settings->memory_mb / 4;
      if (settings->memory_mb > MEMORY_REST_MIB + mib)
        mib = settings->memory_mb - MEMORY_REST_MIB;
    }
  settings->memory_budget_bytes = mib * MIB;
}

static void
read_memory (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  sgr_yaml_number_read (yaml, node, "memory_mb", "limits", 32, 1048576, &settings->memory_mb);
  sgr_yaml_number_read (yaml, node, "memory_budget_bytes", "limits", 8 * MIB, MIB * MIB,
                        &settings->memory_budget_bytes);
  sgr_yaml_number_read (yaml, node, "memory_share_percent", "limits", 1, 100,
                        &settings->memory_share_percent);
  sgr_yaml_number_read (yaml, node, "connections_max", "limits", 10, 1000000,
                        &settings->connections_max);
  sgr_yaml_number_read (yaml, node, "head_timeout_ms", "limits", 100, 600000,
                        &settings->head_timeout_ms);
  sgr_yaml_number_read (yaml, node, "stall_timeout_ms", "limits", 100, 600000,
                        &settings->stall_timeout_ms);
}

/* Limits that concern client accounts. */
static void
read_account_limits (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  sgr_yaml_duration_read (yaml, node, "quota_window", "limits", 100, 600000,
                          &settings->quota_window_ms);
  sgr_yaml_share_read (yaml, node, "quota_over", "limits", &settings->quota_over);
  sgr_yaml_number_read (yaml, node, "quota_slack", "limits", 0, 1000000, &settings->quota_slack);
  sgr_yaml_decimal_read (yaml, node, "link_mbps", "limits", 1000000, &settings->link_mbps);
}

/* Limits that concern the store. */
static void
read_store_limits (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t node)
{
  sgr_yaml_number_read (yaml, node, "store_delay_ms", "limits", 0, 60000,
                        &settings->store_delay_ms);
  sgr_yaml_number_read (yaml, node, "store_readers", "limits", 1, 1000, &settings->store_readers);
  sgr_yaml_number_read (yaml, node, "store_watch_ms", "limits", 100, 60000,
                        &settings->store_watch_ms);
  sgr_yaml_number_read (yaml, node, "store_watch_interval_ms", "limits", 0, 10000,
                        &settings->store_watch_interval_ms);
  sgr_yaml_number_read (yaml, node, "store_retry_max_ms", "limits", 250, 60000,
                        &settings->store_retry_max_ms);
}

static void
read_limits (sgr_settings_t *settings, sgr_yaml_t *yaml, sgr_yaml_node_t root)
{
  static const char *const keys[] = { "request_body_max_bytes",
                                      "answer_buffer_bytes",
                                      "calls_max",
                                      "announce_ttl_ms",
                                      "store_delay_ms",
                                      "store_readers",
                                      "store_watch_ms",
                                      "store_watch_interval_ms",
                                      "store_retry_max_ms",
                                      "leave_delay_ms",
                                      "drain_timeout_ms",
                                      "heartbeat_ms",
                                      "silence_ms",
                                      "far_us_per_kib",
                                      "remote_us_per_kib",
                                      "membership_bytes_per_s",
                                      "stop_grace",
                                      "evacuation",
                                      "quota_window",
                                      "quota_over",
                                      "quota_slack",
                                      "link_mbps",
                                      "memory_mb",
                                      "memory_budget_bytes",
                                      "memory_share_percent",
                                      "connections_max",
                                      "head_timeout_ms",
                                      "stall_timeout_ms",
                                      NULL };
  sgr_yaml_node_t node = sgr_yaml_get (yaml, root, "limits");

  if (node == 0 || !sgr_yaml_mapping_check (yaml, node, "limits", keys))
    return;
  sgr_yaml_number_read (yaml, node, "request_body_max_bytes", "limits", 0, 64 * MIB,
                        &settings->request_body_max_bytes);
  sgr_yaml_number_read (yaml, node, "answer_buffer_bytes", "limits", 4 * KIB, 16 * MIB,
                        &settings->answer_buffer_bytes);
  sgr_yaml_number_read (yaml, node, "calls_max", "limits", 1, 1000000, &settings->calls_max);
  sgr_yaml_number_read (yaml, node, "announce_ttl_ms", "limits", 100, 60000,
                        &settings->announce_ttl_ms);
  read_store_limits (settings, yaml, node);
  sgr_yaml_number_read (yaml, node, "leave_delay_ms", "limits", 0, 60000,
                        &settings->leave_delay_ms);
  sgr_yaml_number_read (yaml, node, "drain_timeout_ms", "limits", 0, 3600000,
                        &settings->drain_timeout_ms);
  sgr_yaml_number_read (yaml, node, "heartbeat_ms", "limits", 10, 60000, &settings->heartbeat_ms);
  sgr_yaml_number_read (yaml, node, "silence_ms", "limits", 20, 600000, &settings->silence_ms);
  sgr_yaml_number_read (yaml, node, "far_us_per_kib", "limits", 0, 1000000,
                        &settings->far_us_per_kib);
  settings->remote_us_per_kib = settings->far_us_per_kib;
  sgr_yaml_number_read (yaml, node, "remote_us_per_kib", "limits", 0, 1000000,
                        &settings->remote_us_per_kib);
  sgr_yaml_number_read (yaml, node, "membership_bytes_per_s", "limits", 500, 1000000,
                        &settings->membership_bytes_per_s);
  sgr_yaml_duration_read (yaml, node, "stop_grace", "limits", 500, 3600000,
                          &settings->stop_grace_ms);
  sgr_yaml_duration_read (yaml, node, "evacuation", "limits", 100, 600000,
                          &settings->evacuation_ms);
  read_account_limits (settings, yaml, node);
  if (settings->silence_ms < 2 * settings->heartbeat_ms)
    sgr_yaml_error (yaml, node, "limits.silence_ms", "expected at least twice heartbeat_ms (%lu)",
                    2 * settings->heartbeat_ms);
}

static sgr_result_t
read_document (sgr_settings_t *settings, sgr_yaml_t *yaml)
{
  static const char *const keys[]
      = { "node",     "listen", "advertise", "contacts", "store",  "routing",
          "approval", "owners", "tls",       "log",      "limits", NULL };
  sgr_yaml_node_t root = sgr_yaml_root (yaml);

  if (!sgr_yaml_mapping_check (yaml, root, "", keys))
    return SGR_ERR_INVALID;
  read_node (settings, yaml, root);
  read_listen (settings, yaml, root);
  read_advertise (settings, yaml, root);
  read_contacts (settings, yaml, root);
  sgr_yaml_address_read (yaml, root, "store", "", false, &settings->store);
  read_choice (yaml, root, "routing", "by-route", "by-service", &settings->are_services_named);
  read_choice (yaml, root, "approval", "owners", "outside", &settings->is_approved_outside);
  read_owners (settings, yaml, root);
  read_tls (settings, yaml, root);
  read_log (settings, yaml, root);
  read_limits (settings, yaml, root);
  read_memory (settings, yaml, sgr_yaml_get (yaml, root, "limits"));
  memory_budget_derive (settings);
  return sgr_yaml_failed (yaml) ? SGR_ERR_INVALID : SGR_OK;
}

/* Sets the defaults and reads the document over them. @yaml is NULL if it could not be parsed. */
static sgr_result_t
read_document_and_destroy (sgr_settings_t *settings, sgr_yaml_t *yaml)
{
  sgr_result_t result;

  defaults_set (settings);
  if (yaml == NULL)
    return SGR_ERR_INVALID;
  result = read_document (settings, yaml);
  sgr_yaml_destroy (yaml);
  return result;
}

sgr_result_t
sgr_settings_load (sgr_settings_t *settings, const char *path, sgr_buffer_t *errors)
{
  return read_document_and_destroy (settings, sgr_yaml_load (path, errors));
}

sgr_result_t
sgr_settings_parse (sgr_settings_t *settings, const char *name, const char *text, size_t length,
                    sgr_buffer_t *errors)
{
  return read_document_and_destroy (settings, sgr_yaml_parse (name, text, length, errors));
}

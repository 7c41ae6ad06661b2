#include <string.h>

#include "config_api_private.h"
#include "http_listener.h"

static size_t
list_members (const sgr_config_api_t *api, const sgr_member_t **members)
{
  *members = NULL;
  return api->members == NULL ? 0 : api->members (api->members_ctx, members);
}

static const char *
member_status_name (sgr_member_status_t status)
{
  static const char *const names[] = { "alive", "suspect", "dead", "left" };

  return (unsigned)status < 4 ? names[status] : "unknown";
}

static json_t *
address_json (const sgr_address_t *address)
{
  char text[24];

  sgr_address_format (address, text, sizeof text);
  return json_string (text);
}

static json_t *
node_json (const sgr_member_t *member)
{
  json_t *json = json_object ();

  json_object_set_new (json, "name", json_string (member->name));
  json_object_set_new (json, "status", json_string (member_status_name (member->status)));
  json_object_set_new (json, "region", json_string (member->region));
  json_object_set_new (json, "failure_domain", json_string (member->failure_domain));
  json_object_set_new (json, "data_address", address_json (&member->data_address));
  json_object_set_new (json, "control_address", address_json (&member->control_address));
  json_object_set_new (json, "config_revision", json_integer ((json_int_t)member->config_revision));
  return json;
}

static json_t *
target_json (const sgr_member_t *member)
{
  json_t *json = json_object ();

  json_object_set_new (json, "node", json_string (member->name));
  json_object_set_new (json, "service", json_string (member->service));
  json_object_set_new (json, "state", json_string (sgr_target_state_name (member->target_state)));
  json_object_set_new (json, "slots", json_integer (member->slots));
  json_object_set_new (json, "failure_domain", json_string (member->failure_domain));
  return json;
}

/* Answers a GET request with all members as nodes or, if @as_targets is set, with the targets of
   the members that are alive or suspect. */
static int
reply_members (h2o_handler_t *handler, h2o_req_t *req, const char *key, bool as_targets)
{
  sgr_config_api_t *api = API_OF (handler);
  const sgr_member_t *members;
  json_t *json, *list;
  size_t count;

  if (!api_method_require (req, "GET"))
    return 0;
  count = list_members (api, &members);
  json = json_object ();
  list = json_array ();
  for (size_t i = 0; i < count; i++)
    if (!as_targets)
      json_array_append_new (list, node_json (&members[i]));
    else if (members[i].service[0] != '\0' && members[i].status != SGR_MEMBER_LEFT
             && members[i].status != SGR_MEMBER_DEAD)
      json_array_append_new (list, target_json (&members[i]));
  json_object_set_new (json, key, list);
  sgr_http_reply_json (req, 200, json);
  return 0;
}

int
api_on_nodes (h2o_handler_t *handler, h2o_req_t *req)
{
  return reply_members (handler, req, "nodes", false);
}

int
api_on_targets (h2o_handler_t *handler, h2o_req_t *req)
{
  return reply_members (handler, req, "targets", true);
}

/* Adds a node to the summary of its failure domain: the number of nodes, their lowest revision, and
   the nodes whose revision is below @highest. */
static void
failure_domain_add_node (json_t *failure_domains, const sgr_member_t *member, uint64_t highest)
{
  json_t *failure_domain_json = json_object_get (failure_domains, member->failure_domain);
  json_int_t revision = (json_int_t)member->config_revision;

  if (failure_domain_json == NULL)
    {
      failure_domain_json = json_object ();
      json_object_set_new (failure_domain_json, "nodes", json_integer (0));
      json_object_set_new (failure_domain_json, "revision", json_integer (revision));
      json_object_set_new (failure_domain_json, "lagging", json_array ());
      json_object_set_new (failure_domains, member->failure_domain, failure_domain_json);
    }
  json_object_set_new (
      failure_domain_json, "nodes",
      json_integer (json_integer_value (json_object_get (failure_domain_json, "nodes")) + 1));
  if (revision < json_integer_value (json_object_get (failure_domain_json, "revision")))
    json_object_set_new (failure_domain_json, "revision", json_integer (revision));
  if (member->config_revision < highest)
    {
      json_t *lagging_node = json_object ();

      json_object_set_new (lagging_node, "node", json_string (member->name));
      json_object_set_new (lagging_node, "revision", json_integer (revision));
      json_object_set_new (lagging_node, "status",
                           json_string (member_status_name (member->status)));
      json_array_append_new (json_object_get (failure_domain_json, "lagging"), lagging_node);
    }
}

void
sgr_config_api_evacuation_setup (sgr_config_api_t *api, sgr_config_api_evacuation_t evacuation,
                                 void *ctx)
{
  api->evacuation = evacuation;
  api->evacuation_ctx = ctx;
}

void
sgr_config_api_routing_setup (sgr_config_api_t *api, const char *routing)
{
  api->routing = routing;
}

/* Adds the evacuated failure domains, unless the node does not follow evacuations. */
static void
evacuation_add (const sgr_config_api_t *api, json_t *json)
{
  const sgr_evacuation_t *set
      = api->evacuation != NULL ? api->evacuation (api->evacuation_ctx) : NULL;
  json_t *list;

  if (set == NULL)
    return;
  list = json_array ();
  for (size_t i = 0; i < set->count; i++)
    json_array_append_new (list, json_string (set->domains[i]));
  json_object_set_new (json, "evacuated", list);
}

/* Adds the entries of the record in force that are not carried out as written: their number, and
   the path and the reason of the first of them. */
static void
problems_add (const sgr_config_record_t *record, json_t *json)
{
  const sgr_config_problems_t *problems = &record->content->problems;
  json_t *list = json_array ();

  for (size_t i = 0; i < problems->count && i < SGR_CONFIG_PROBLEMS_MAX; i++)
    {
      json_t *problem = json_object ();

      json_object_set_new (problem, "path", json_string (problems->list[i].path));
      /* A value that the reason quotes may be cut within a character. */
      if (json_object_set_new (problem, "reason", json_string (problems->list[i].message)) != 0)
        json_object_set_new (problem, "reason", json_string ("found a value that is not valid"));
      json_array_append_new (list, problem);
    }
  json_object_set_new (json, "unusable_entries", json_integer ((json_int_t)problems->count));
  json_object_set_new (json, "unusable", list);
}

int
api_on_status (h2o_handler_t *handler, h2o_req_t *req)
{
  sgr_config_api_t *api = API_OF (handler);
  const sgr_config_state_t *state = sgr_config_io_state (api->io);
  const sgr_config_record_t *record = sgr_config_state_record (state);
  uint64_t highest = sgr_config_state_revision (state);
  const sgr_member_t *members;
  json_t *json, *failure_domains;
  size_t count;

  if (!api_method_require (req, "GET"))
    return 0;
  count = list_members (api, &members);
  for (size_t i = 0; i < count; i++)
    if (members[i].status == SGR_MEMBER_ALIVE && members[i].config_revision > highest)
      highest = members[i].config_revision;
  json = json_object ();
  failure_domains = json_object ();
  for (size_t i = 0; i < count; i++)
    if (members[i].status == SGR_MEMBER_ALIVE || members[i].status == SGR_MEMBER_SUSPECT)
      failure_domain_add_node (failure_domains, &members[i], highest);
  json_object_set_new (json, "deployment",
                       json_string (sgr_config_state_owners (state)->deployment));
  json_object_set_new (json, "revision",
                       json_integer ((json_int_t)sgr_config_state_revision (state)));
  json_object_set_new (json, "highest_revision", json_integer ((json_int_t)highest));
  json_object_set_new (json, "change",
                       record == NULL ? json_null () : json_string (record->statement.id));
  if (api->routing != NULL)
    json_object_set_new (json, "routing", json_string (api->routing));
  if (record != NULL)
    {
      json_object_set_new (json, "accounts_in_use",
                           json_boolean (record->content->accounts.is_in_use));
      problems_add (record, json);
    }
  json_object_set_new (json, "store_reader", json_boolean (sgr_config_io_is_reader (api->io)));
  json_object_set_new (json, "store_calls",
                       json_integer ((json_int_t)sgr_config_io_sync_stats (api->io)->store_calls));
  json_object_set_new (
      json, "store_failures",
      json_integer ((json_int_t)sgr_config_io_sync_stats (api->io)->store_failures));
  json_object_set_new (json, "failure_domains", failure_domains);
  evacuation_add (api, json);
  sgr_http_reply_json (req, 200, json);
  return 0;
}

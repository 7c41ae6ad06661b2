#include "control_contacts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

/* First and longest delay before a failed call to the store is retried; the delay doubles with each
   failure. */
#define RETRY_MIN_US (200 * SGR_USEC_PER_MSEC)
#define RETRY_MAX_US (2 * SGR_USEC_PER_SEC)
/* Interval at which the list of nodes is read until it names another node; others may register
   later. */
#define LIST_INTERVAL_US (2 * SGR_USEC_PER_SEC)
/* Longest delay before the address is written again after the store was restored. */
#define RENEWAL_DELAY_MAX_US (2 * SGR_USEC_PER_SEC)
/* Size of the text "IP:PORT" with its terminating zero, rounded up. */
#define ADDRESS_TEXT_BYTES 32

typedef enum
{
  STEP_LIST,
  STEP_REGISTER,
  STEP_DONE,
} step_t;

struct sgr_control_contacts_t
{
  sgr_control_t *control;
  sgr_store_t *store;
  sgr_store_call_t *call;
  step_t step;
  uint64_t generation; /* generation of the store that has the node's address, 0 if it tells none */
  bool has_listed;     /* whether the store has named the nodes */
  bool has_found;      /* whether the store has named another node */
  bool is_registered;  /* whether the store has the node's address */
  bool has_written;    /* whether this process has written the node's address */
  size_t listed;       /* nodes in the list if it had the address before this process wrote it */
  char prefix[SGR_NAME_MAX + 16];  /* "nodes/DEPLOYMENT/" */
  char key[2 * SGR_NAME_MAX + 16]; /* "nodes/DEPLOYMENT/NAME" */
  char address[ADDRESS_TEXT_BYTES];
  sgr_timer_t timer;
  uint64_t retry_us;
};

static void
retry_schedule (sgr_control_contacts_t *contacts, const char *action,
                const sgr_store_reply_t *reply)
{
  sgr_log_warn ("contacts-failed", "action=%s reason=\"%s\" retry_ms=%lu", action,
                reply != NULL && reply->reason != NULL ? reply->reason : "not sent",
                (unsigned long)(contacts->retry_us / SGR_USEC_PER_MSEC));
  sgr_timer_arm (contacts->control->timers, &contacts->timer,
                 sgr_clock_monotonic_us () + contacts->retry_us);
  contacts->retry_us *= 2;
  if (contacts->retry_us > RETRY_MAX_US)
    contacts->retry_us = RETRY_MAX_US;
}

/* Adds the listed nodes as contacts. The first one depends on the boot id: membership keeps only a
   limited number of contacts, and not all nodes should keep the same ones. */
static size_t
contacts_add (sgr_control_contacts_t *contacts, const sgr_store_reply_t *reply)
{
  size_t start = reply->item_count > 0 ? contacts->control->boot % reply->item_count : 0;
  size_t added = 0;

  for (size_t i = 0; i < reply->item_count; i++)
    {
      const sgr_store_item_t *item = &reply->items[(start + i) % reply->item_count];
      sgr_address_t address;
      char text[ADDRESS_TEXT_BYTES];

      snprintf (
          text, sizeof text, "%.*s",
          (int)(item->length < ADDRESS_TEXT_BYTES - 1 ? item->length : ADDRESS_TEXT_BYTES - 1),
          (const char *)item->value);
      if (strcmp (item->key, contacts->key) == 0)
        {
          contacts->is_registered
              = contacts->is_registered || strcmp (text, contacts->address) == 0;
          continue;
        }
      if (!sgr_address_parse (text, &address))
        {
          sgr_log_warn ("contact-refused", "key=%s reason=\"expected IP:PORT\"", item->key);
          continue;
        }
      sgr_membership_contact_add (sgr_membership_io_membership (contacts->control->membership),
                                  &address);
      added++;
    }
  return added;
}

static void step_run (sgr_control_contacts_t *contacts);

/* A node that restarts finds its address in the list and saves the write, so that the writes of
   many restarts at a time do not use up the rate of the store. */
static void
on_listed (void *ctx, const sgr_store_reply_t *reply)
{
  sgr_control_contacts_t *contacts = ctx;
  size_t added;

  contacts->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      retry_schedule (contacts, "list", reply);
      return;
    }
  if (reply->generation != contacts->generation)
    {
      /* This is the first list, or the store was restored after the address was written. */
      contacts->generation = reply->generation;
      contacts->is_registered = false;
    }
  added = contacts_add (contacts, reply);
  sgr_log_info ("contacts-read", "contacts=%zu registered=%s", added,
                contacts->is_registered ? "yes" : "no");
  contacts->has_listed = true;
  if (contacts->is_registered && !contacts->has_written)
    contacts->listed = added + 1;
  contacts->has_found = contacts->has_found || added > 0;
  if (!contacts->is_registered)
    {
      contacts->step = STEP_REGISTER;
      step_run (contacts);
    }
  else if (contacts->has_found)
    contacts->step = STEP_DONE;
  else
    sgr_timer_arm (contacts->control->timers, &contacts->timer,
                   sgr_clock_monotonic_us () + LIST_INTERVAL_US);
}

static void
on_registered (void *ctx, const sgr_store_reply_t *reply)
{
  sgr_control_contacts_t *contacts = ctx;

  contacts->call = NULL;
  if (reply->outcome != SGR_STORE_OK)
    {
      retry_schedule (contacts, "register", reply);
      return;
    }
  contacts->generation = reply->generation;
  contacts->has_written = true;
  contacts->is_registered = true;
  contacts->step = STEP_LIST;
  contacts->retry_us = RETRY_MIN_US;
  step_run (contacts);
}

static void
step_run (sgr_control_contacts_t *contacts)
{
  sgr_store_t *store = contacts->store;

  if (contacts->step == STEP_DONE || contacts->call != NULL)
    return;
  if (contacts->step == STEP_REGISTER)
    contacts->call = store->swap (store, contacts->key, SGR_STORE_ANY_VERSION, contacts->address,
                                  strlen (contacts->address), on_registered, contacts);
  else
    contacts->call = store->list (store, contacts->prefix, on_listed, contacts);
  if (contacts->call == NULL)
    retry_schedule (contacts, "send", NULL);
}

static void
on_timer (void *ctx, uint64_t now_us)
{
  step_run (ctx);
}

sgr_control_contacts_t *
sgr_control_contacts_create (sgr_control_t *control, sgr_store_t *store)
{
  sgr_control_contacts_t *contacts;

  if (store == NULL)
    return NULL;
  contacts = calloc (1, sizeof *contacts);
  sgr_invariant (contacts != NULL);
  contacts->control = control;
  contacts->store = store;
  contacts->retry_us = RETRY_MIN_US;
  contacts->timer = (sgr_timer_t){ .fire = on_timer, .ctx = contacts };
  snprintf (contacts->prefix, sizeof contacts->prefix, "nodes/%s/", control->settings->deployment);
  snprintf (contacts->key, sizeof contacts->key, "%s%s", contacts->prefix, control->settings->name);
  sgr_address_format (&control->settings->control, contacts->address, sizeof contacts->address);
  step_run (contacts);
  return contacts;
}

void
sgr_control_contacts_renew (sgr_control_contacts_t *contacts)
{
  /* The reply to a pending step tells the generation, too. */
  if (contacts == NULL || contacts->call != NULL
      || contacts->generation == contacts->store->generation)
    return;
  contacts->is_registered = false;
  contacts->step = STEP_REGISTER;
  sgr_timer_arm (contacts->control->timers, &contacts->timer,
                 sgr_clock_monotonic_us ()
                     + sgr_node_id_of (contacts->control->settings->name) % RENEWAL_DELAY_MAX_US);
}

bool
sgr_control_contacts_is_alone (const sgr_control_contacts_t *contacts)
{
  return contacts != NULL && contacts->has_listed && !contacts->has_found;
}

size_t
sgr_control_contacts_listed (const sgr_control_contacts_t *contacts)
{
  return contacts != NULL ? contacts->listed : 0;
}

void
sgr_control_contacts_destroy (sgr_control_contacts_t *contacts)
{
  if (contacts == NULL)
    return;
  if (contacts->call != NULL)
    contacts->store->cancel (contacts->store, contacts->call);
  sgr_timer_cancel (contacts->control->timers, &contacts->timer);
  free (contacts);
}

#include "control_confirm.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "confirmation.h"
#include "control_http.h"
#include "log.h"

/**
 * struct sgr_control_confirm_t - addresses at which an instance shows that it still runs
 * @control: the control task
 * @confirmation: ports of the addresses, and what was asked
 * @listeners: servers of the addresses, NULL for those that were not given out yet
 */
struct sgr_control_confirm_t
{
  sgr_control_t *control;
  sgr_confirmation_t confirmation;
  sgr_http_listener_t *listeners[SGR_CONFIRMATION_PORTS_MAX];
};

/* Whether another address of the node has the port. */
static bool
is_port_used (const sgr_settings_t *settings, uint16_t port)
{
  const sgr_address_t addresses[] = { settings->callers, settings->peers,   settings->control,
                                      settings->ready,   settings->metrics, settings->targets };

  for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++)
    {
      if (addresses[i].port == port)
        return true;
    }
  return false;
}

sgr_control_confirm_t *
sgr_control_confirm_create (sgr_control_t *control)
{
  const sgr_settings_t *settings = control->settings;
  sgr_control_confirm_t *confirm = calloc (1, sizeof *confirm);

  sgr_invariant (confirm != NULL);
  confirm->control = control;
  for (unsigned port = settings->confirm.port; port != 0 && port <= settings->confirm_last; port++)
    {
      if (!is_port_used (settings, (uint16_t)port))
        sgr_confirmation_port_add (&confirm->confirmation, (uint16_t)port);
    }
  return confirm;
}

static bool
address_open (sgr_control_confirm_t *confirm, size_t index, sgr_address_t *address)
{
  if (confirm->listeners[index] != NULL)
    return true;
  confirm->listeners[index] = sgr_control_http_targets_open (confirm->control->http, address);
  if (confirm->listeners[index] == NULL)
    sgr_log_warn ("confirm-address-failed", "port=%u reason=\"%s\"", address->port,
                  strerror (errno));
  return confirm->listeners[index] != NULL;
}

sgr_address_t
sgr_control_confirm_ask (sgr_control_confirm_t *confirm, const sgr_announcement_t *announcement)
{
  size_t index
      = sgr_confirmation_ask (&confirm->confirmation, announcement, sgr_clock_monotonic_us ());
  sgr_address_t address = confirm->control->settings->confirm;

  if (index == SIZE_MAX)
    return (sgr_address_t){ 0 };
  address.port = confirm->confirmation.ports[index];
  if (!address_open (confirm, index, &address))
    return (sgr_address_t){ 0 };
  return address;
}

bool
sgr_control_confirm_is_given (const sgr_control_confirm_t *confirm,
                              const sgr_announcement_t *announcement)
{
  return sgr_confirmation_is_given (&confirm->confirmation, announcement);
}

bool
sgr_control_confirm_is_own_port (const sgr_control_confirm_t *confirm, uint16_t port)
{
  return sgr_confirmation_port_index (&confirm->confirmation, port) != SIZE_MAX;
}

void
sgr_control_confirm_destroy (sgr_control_confirm_t *confirm)
{
  if (confirm == NULL)
    return;
  for (size_t i = 0; i < confirm->confirmation.count; i++)
    {
      if (confirm->listeners[i] != NULL)
        sgr_http_listener_stop (confirm->listeners[i]);
    }
}

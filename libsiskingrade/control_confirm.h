#ifndef SGR_CONTROL_CONFIRM_H
#define SGR_CONTROL_CONFIRM_H

#include "control_internal.h"

/**
 * Listens on the addresses at which an instance shows that it still runs, see confirmation.h. An
 * address is opened when it is given out first, and stays open until the process ends.
 */

/** sgr_control_confirm_create() - create the object; opens no address yet */
sgr_control_confirm_t *sgr_control_confirm_create (sgr_control_t *control);

/**
 * sgr_control_confirm_ask() - address for the next announcement of an instance
 * @confirm: the object
 * @announcement: the announcement that is answered
 *
 * Return: the address; port 0 if the settings name none, or if it cannot be opened.
 */
sgr_address_t sgr_control_confirm_ask (sgr_control_confirm_t *confirm,
                                       const sgr_announcement_t *announcement);

/** sgr_control_confirm_is_given() - whether an announcement shows that its instance still runs */
bool sgr_control_confirm_is_given (const sgr_control_confirm_t *confirm,
                                   const sgr_announcement_t *announcement);

/** sgr_control_confirm_is_own_port() - whether a port is one of the object's */
bool sgr_control_confirm_is_own_port (const sgr_control_confirm_t *confirm, uint16_t port);

/** sgr_control_confirm_destroy() - close the addresses and free the object; NULL is allowed */
void sgr_control_confirm_destroy (sgr_control_confirm_t *confirm);

#endif

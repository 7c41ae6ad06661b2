#ifndef SGR_DEPARTURES_H
#define SGR_DEPARTURES_H

#include "result.h"
#include "types.h"

/* Departures that are kept; a further one replaces the oldest. Announcements are late by seconds,
   and a host has one target at a time. */
#define SGR_DEPARTURES_MAX 8

/**
 * struct sgr_departure_t - an instance of a target that drains or has left
 * @instance: name of the instance
 * @started_ms: start of the instance as Unix time in milliseconds, 0 if not given; a later start
 * under the same name is another instance
 * @has_left: the instance has left; false if it drains
 */
typedef struct
{
  char instance[SGR_NAME_MAX + 1];
  uint64_t started_ms;
  bool has_left;
} sgr_departure_t;

/**
 * struct sgr_departures_t - the last departures of a host, oldest first; zero-initialized, it is
 * empty
 * @items: the departures
 * @count: entries of @items
 */
typedef struct
{
  sgr_departure_t items[SGR_DEPARTURES_MAX];
  size_t count;
} sgr_departures_t;

/**
 * sgr_departures_find() - departure of an instance, NULL if there is none
 * @departures: the departures
 * @instance: name of the instance; none is found for an empty name
 * @started_ms: start of the instance
 *
 * An instance that started before a recorded one of the same name has departed, too.
 */
const sgr_departure_t *sgr_departures_find (const sgr_departures_t *departures,
                                            const char *instance, uint64_t started_ms);

/**
 * sgr_departures_add() - record a departure; a departure is never taken back
 *
 * Return: false if nothing changed: the instance has no name, or its departure is recorded already.
 */
bool sgr_departures_add (sgr_departures_t *departures, const sgr_departure_t *departure);

/** sgr_departures_are_in() - whether another table has all departures that have a start */
bool sgr_departures_are_in (const sgr_departures_t *departures, const sgr_departures_t *other);

/**
 * sgr_departures_merge() - record the departures of another table
 * @departures: the table to add to
 * @other: the departures to add; they count as older than those that @departures has
 */
void sgr_departures_merge (sgr_departures_t *departures, const sgr_departures_t *other);

/**
 * sgr_departures_write() - departures as JSON text
 *
 * Leaves out those without a start: a later instance of the name could not be told from them, and
 * would be without work for ever.
 *
 * Return: the text, to be freed by the caller.
 */
char *sgr_departures_write (const sgr_departures_t *departures);

/**
 * sgr_departures_read() - read the text of sgr_departures_write()
 * @departures: receives the departures
 * @text: the text
 * @length: its length in bytes
 *
 * Entries that cannot be read are left out, and so are the oldest if there are too many.
 *
 * Return: SGR_OK; SGR_ERR_INVALID if the text is not of the expected form as a whole.
 */
sgr_result_t sgr_departures_read (sgr_departures_t *departures, const void *text, size_t length);

#endif

#ifndef SGR_EVACUATION_H
#define SGR_EVACUATION_H

#include "result.h"
#include "types.h"

/** Largest number of evacuated failure domains. */
#define SGR_EVACUATION_DOMAINS_MAX 16
/** Largest sum over the evacuated failure domains of the length of the name plus 2, in bytes. Every
    membership datagram carries the names and has to keep room for its own content. */
#define SGR_EVACUATION_BYTES_MAX 512

/**
 * struct sgr_evacuation_t - the evacuated failure domains; zeroed for none
 * @version: version of the store in which this set was seen first, 0 if there never was a set
 * @checked: version of the store up to which the set is known not to have changed; never older than
 *   @version
 * @count: entries of @domains
 * @domains: names of the failure domains, in ascending order
 *
 * A node reads the set from the store or receives it from another node. Of two sets, the one with
 * the higher version is in force.
 */
typedef struct
{
  sgr_store_version_t version;
  sgr_store_version_t checked;
  size_t count;
  char domains[SGR_EVACUATION_DOMAINS_MAX][SGR_NAME_MAX + 1];
} sgr_evacuation_t;

/**
 * enum sgr_evacuation_effect_t - what a read or a received set changed
 * @SGR_EVACUATION_SAME: the domains are the same as before
 * @SGR_EVACUATION_RENEWED: the domains are the same, but got a higher version, because another node
 *   has a set that is outdated; the set has to be sent to the other nodes
 * @SGR_EVACUATION_CHANGED: other domains are evacuated than before
 */
typedef enum
{
  SGR_EVACUATION_SAME = 0,
  SGR_EVACUATION_RENEWED,
  SGR_EVACUATION_CHANGED,
} sgr_evacuation_effect_t;

/**
 * sgr_evacuation_domain_add() - add a failure domain
 * @evacuation: the set
 * @name: name of the failure domain
 * @length: length of @name in bytes
 *
 * Return: SGR_OK, also for one that is in the set already; SGR_ERR_INVALID if the name is not 1 to
 * SGR_NAME_MAX printable ASCII characters without spaces; SGR_ERR_LIMIT if the set is full.
 */
sgr_result_t sgr_evacuation_domain_add (sgr_evacuation_t *evacuation, const char *name,
                                        size_t length);

/** sgr_evacuation_has() - whether a failure domain is evacuated */
bool sgr_evacuation_has (const sgr_evacuation_t *evacuation, const char *domain);

/** sgr_evacuation_exists() - whether there is or was an evacuation, as far as the node knows */
static inline bool
sgr_evacuation_exists (const sgr_evacuation_t *evacuation)
{
  return evacuation->version.number != 0;
}

/**
 * sgr_evacuation_read_apply() - apply a set that was read from the store
 * @evacuation: the set in force
 * @read: the set that was read; its version is that of the store at the time of the read
 *
 * A read that is older than what is known already is ignored. If the domains are the same, the set
 * keeps its version, so that a read alone causes no messages.
 */
sgr_evacuation_effect_t sgr_evacuation_read_apply (sgr_evacuation_t *evacuation,
                                                   const sgr_evacuation_t *read);

/**
 * sgr_evacuation_merge() - apply a set that another node sent
 * @evacuation: the set in force
 * @received: the received set
 *
 * A received set that is older than the last read of the store is not applied. If its sender would
 * not accept the set in force either, because it was seen in the store before, the set in force
 * gets the version of that read.
 */
sgr_evacuation_effect_t sgr_evacuation_merge (sgr_evacuation_t *evacuation,
                                              const sgr_evacuation_t *received);

#endif

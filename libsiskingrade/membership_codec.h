#ifndef SGR_MEMBERSHIP_CODEC_H
#define SGR_MEMBERSHIP_CODEC_H

#include "evacuation.h"
#include "membership.h"
#include "membership.pb-c.h"
#include "membership_table.h"

/* Version of the datagram format; datagrams with another version are rejected. */
#define SGR_MEMBERSHIP_VERSION 1

/* Maximum number of records, interned strings, fingerprints and requested nodes in a datagram. */
#define SGR_MEMBERSHIP_RECORDS_MAX 64
#define SGR_MEMBERSHIP_STRINGS_MAX 64
#define SGR_MEMBERSHIP_FINGERPRINTS_MAX 224
#define SGR_MEMBERSHIP_WANTED_IDS_MAX 32

/**
 * enum sgr_membership_kind_t - kinds of datagrams, numbered as on the wire
 * @SGR_MEMBERSHIP_PING: requests an ACK from the receiver
 * @SGR_MEMBERSHIP_PING_REQ: requests that the receiver ping a third node, the probed node,
 * and answer with an ACK or a NACK
 * @SGR_MEMBERSHIP_ACK: answer to a PING, or to a PING_REQ whose probed node answered
 * @SGR_MEMBERSHIP_NACK: answer to a PING_REQ whose probed node did not answer in time; it shows
 * that the sender of the NACK is alive
 * @SGR_MEMBERSHIP_GOSSIP: updates only
 * @SGR_MEMBERSHIP_DIGEST: digests of all groups of the sender
 * @SGR_MEMBERSHIP_DIFF: answer to a DIGEST: the groups whose digests differ at the sender
 * @SGR_MEMBERSHIP_PULL: requests the records of some groups, except those whose fingerprints it
 * lists
 * @SGR_MEMBERSHIP_PULL_ANSWER: answer to a PULL: records, and fingerprints of records that its
 * sender requests in return
 * @SGR_MEMBERSHIP_RECORD_REQUEST: requests the full records of some nodes
 * @SGR_MEMBERSHIP_PUSH: records that the receiver requested, or that correct outdated records which
 * it sent
 */
typedef enum
{
  SGR_MEMBERSHIP_PING = 1,
  SGR_MEMBERSHIP_PING_REQ,
  SGR_MEMBERSHIP_ACK,
  SGR_MEMBERSHIP_NACK,
  SGR_MEMBERSHIP_GOSSIP,
  SGR_MEMBERSHIP_DIGEST,
  SGR_MEMBERSHIP_DIFF,
  SGR_MEMBERSHIP_PULL,
  SGR_MEMBERSHIP_PULL_ANSWER,
  SGR_MEMBERSHIP_RECORD_REQUEST,
  SGR_MEMBERSHIP_PUSH,
} sgr_membership_kind_t;

/**
 * struct sgr_membership_record_t - a record as received
 * @member: the record; if it is compact, its strings are empty, its configuration revision is 0 and
 * its addresses are not set
 * @full: whether the record includes the descriptor; without it the record is compact
 * @descriptor_hash: hash of the descriptor, see sgr_membership_descriptor_hash()
 * @departed_s: seconds since the member departed, 0 for a live member
 * @suspected_by: low 32 bits of the id of a node that suspects the member, 0 for none
 */
typedef struct
{
  sgr_member_t member;
  bool full;
  uint32_t descriptor_hash;
  uint32_t departed_s;
  uint32_t suspected_by;
} sgr_membership_record_t;

/**
 * struct sgr_membership_message_t - a datagram as received, validated
 * @kind: kind of datagram
 * @sender: node that sent it
 * @boot: boot id of the sender
 * @sequence: number that the sender of a request chose; the answer repeats it
 * @config_revision: configuration revision in force at the sender
 * @probed_id: node to ping; in an answer to a PING_REQ, the node that was pinged
 * @probed_address: control address of the node to ping, in a PING_REQ
 * @groups: bit set of groups that differ, are requested or are sent completely, depending on @kind
 * @records: @record_count records
 * @fingerprints: @fingerprint_count fingerprints, see SGR_MEMBERSHIP_PULL
 * @wanted: @wanted_count nodes whose full records are requested
 * @digests: digest of each group, in a DIGEST only
 * @evacuation: the evacuated failure domains; sgr_evacuation_exists() is false if there are none
 */
typedef struct
{
  sgr_membership_kind_t kind;
  sgr_node_id_t sender;
  sgr_boot_id_t boot;
  uint32_t sequence;
  uint64_t config_revision;
  sgr_node_id_t probed_id;
  sgr_address_t probed_address;
  uint64_t groups;
  size_t record_count;
  size_t fingerprint_count;
  size_t wanted_count;
  sgr_membership_record_t records[SGR_MEMBERSHIP_RECORDS_MAX];
  uint32_t fingerprints[SGR_MEMBERSHIP_FINGERPRINTS_MAX];
  sgr_node_id_t wanted[SGR_MEMBERSHIP_WANTED_IDS_MAX];
  uint32_t digests[SGR_MEMBERSHIP_GROUPS];
  sgr_evacuation_t evacuation;
} sgr_membership_message_t;

/**
 * struct sgr_membership_writer_t - a datagram being built
 * @message: the datagram; points to the arrays below. The user of the writer sets its scalar fields
 * after sgr_membership_writer_begin(), except the version and the kind.
 * @size: upper bound of the encoded size in bytes
 * @strings: strings to which the records refer
 * @string_indexes: index of each of @strings in the table, as the records of the table hold it
 * @evacuation_size: part of @size that the evacuated failure domains take
 */
typedef struct
{
  Sgr__MembershipDatagram message;
  size_t size;
  Sgr__MembershipRecord records[SGR_MEMBERSHIP_RECORDS_MAX];
  Sgr__MembershipRecord *record_pointers[SGR_MEMBERSHIP_RECORDS_MAX];
  ProtobufCBinaryData strings[SGR_MEMBERSHIP_STRINGS_MAX];
  uint16_t string_indexes[SGR_MEMBERSHIP_STRINGS_MAX];
  uint32_t fingerprints[SGR_MEMBERSHIP_FINGERPRINTS_MAX];
  sgr_node_id_t wanted[SGR_MEMBERSHIP_WANTED_IDS_MAX];
  uint32_t digests[SGR_MEMBERSHIP_GROUPS];
  Sgr__MembershipEvacuation evacuation;
  ProtobufCBinaryData evacuated_domains[SGR_EVACUATION_DOMAINS_MAX];
  size_t evacuation_size;
} sgr_membership_writer_t;

/** sgr_membership_writer_begin() - start a datagram without content */
void sgr_membership_writer_begin (sgr_membership_writer_t *writer, sgr_membership_kind_t kind);

/**
 * sgr_membership_writer_add_record() - add a record if it fits
 * @writer: the datagram
 * @table: the table; must not change until the datagram is finished
 * @handle: the record
 * @full: whether to include the descriptor; ignored if the record has none
 * @now_us: monotonic time
 * @suspected_by: low 32 bits of the id of a node that suspects the member, 0 for none; ignored if
 * the member is not suspect
 * @limit: largest size of the datagram in bytes
 *
 * Return: false if it does not fit.
 */
bool sgr_membership_writer_add_record (sgr_membership_writer_t *writer,
                                       const sgr_membership_table_t *table, uint32_t handle,
                                       bool full, uint64_t now_us, uint32_t suspected_by,
                                       size_t limit);

/** sgr_membership_writer_add_fingerprint() - add a fingerprint; false if it does not fit */
bool sgr_membership_writer_add_fingerprint (sgr_membership_writer_t *writer, uint32_t fingerprint);

/** sgr_membership_writer_add_wanted_id() - request a full record; false if it does not fit */
bool sgr_membership_writer_add_wanted_id (sgr_membership_writer_t *writer, sgr_node_id_t id);

/**
 * sgr_membership_writer_set_digests() - set the digests of all groups
 * @writer: the datagram; must have room for the digests
 * @digests: SGR_MEMBERSHIP_GROUPS digests, copied
 */
void sgr_membership_writer_set_digests (sgr_membership_writer_t *writer, const uint32_t *digests);

/**
 * sgr_membership_writer_set_evacuation() - set the evacuated failure domains
 * @writer: the datagram, without other content
 * @evacuation: the set, which exists; must not change until the datagram is finished
 */
void sgr_membership_writer_set_evacuation (sgr_membership_writer_t *writer,
                                           const sgr_evacuation_t *evacuation);

/**
 * sgr_membership_writer_finish() - encode a datagram
 * @writer: the datagram
 * @bytes: receives at most SGR_MEMBERSHIP_DATAGRAM_MAX bytes
 *
 * Return: the length in bytes.
 */
size_t sgr_membership_writer_finish (sgr_membership_writer_t *writer, uint8_t *bytes);

/**
 * sgr_membership_message_decode() - decode and validate a datagram
 * @bytes: the datagram
 * @length: length in bytes
 * @message: receives the content; undefined after an error
 *
 * Return: SGR_OK, or SGR_ERR_INVALID if the datagram is malformed.
 */
sgr_result_t sgr_membership_message_decode (const uint8_t *bytes, size_t length,
                                            sgr_membership_message_t *message);

/**
 * sgr_membership_name_is_valid() - check the name of a node, region, failure domain or service
 * @name: the name
 * @length: length in bytes
 *
 * Return: true for 1 to SGR_NAME_MAX printable ASCII characters without spaces.
 */
bool sgr_membership_name_is_valid (const char *name, size_t length);

#endif

#ifndef SGR_MEMBERSHIP_CODEC_H
#define SGR_MEMBERSHIP_CODEC_H

#include "membership.h"
#include "membership.pb-c.h"
#include "membership_table.h"

#define SGR_MEMBERSHIP_VERSION 1
#define SGR_MEMBERSHIP_RECORDS_MAX 64
#define SGR_MEMBERSHIP_STRINGS_MAX 64
#define SGR_MEMBERSHIP_FINGERPRINTS_MAX 224
#define SGR_MEMBERSHIP_WANTED_MAX 32

/**
 * enum sgr_membership_kind_t - kinds of datagrams
 * @SGR_MEMBERSHIP_PING: asks @target for an acknowledgement
 * @SGR_MEMBERSHIP_PING_REQ: asks the receiver to ping @target and to report
 * @SGR_MEMBERSHIP_ACK: answer to a ping, or to a request after the target answered
 * @SGR_MEMBERSHIP_NACK: the receiver of a request is alive, but its ping was not answered
 * @SGR_MEMBERSHIP_GOSSIP: updates only
 * @SGR_MEMBERSHIP_DIGEST: digests of all groups of the sender
 * @SGR_MEMBERSHIP_DIFF: groups that differ from a digest
 * @SGR_MEMBERSHIP_PULL: asks for records of some groups, except those with given fingerprints
 * @SGR_MEMBERSHIP_PAGE: answer to a pull
 * @SGR_MEMBERSHIP_WANT: asks for the full records of some nodes
 * @SGR_MEMBERSHIP_GIVE: records that were asked for or that correct a page
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
  SGR_MEMBERSHIP_PAGE,
  SGR_MEMBERSHIP_WANT,
  SGR_MEMBERSHIP_GIVE,
} sgr_membership_kind_t;

/**
 * struct sgr_membership_record_t - a record as received
 * @member: the fields; without @full only id, life, incarnation, states and slots are set
 * @full: whether the descriptor is included
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
 * struct sgr_membership_message_t - a datagram as received, fully validated
 */
typedef struct
{
  sgr_membership_kind_t kind;
  sgr_node_id_t sender;
  sgr_boot_id_t boot;
  uint32_t sequence;
  uint64_t config_revision;
  sgr_node_id_t target;
  sgr_address_t target_address;
  uint64_t groups;
  size_t record_count;
  size_t fingerprint_count;
  size_t wanted_count;
  sgr_membership_record_t records[SGR_MEMBERSHIP_RECORDS_MAX];
  uint32_t fingerprints[SGR_MEMBERSHIP_FINGERPRINTS_MAX];
  sgr_node_id_t wanted[SGR_MEMBERSHIP_WANTED_MAX];
  uint32_t digests[SGR_MEMBERSHIP_GROUPS];
} sgr_membership_message_t;

/**
 * struct sgr_membership_writer_t - a datagram being built
 * @message: the fields; the caller sets the scalar ones after the start
 * @size: upper bound of the encoded size in bytes
 */
typedef struct
{
  Sgr__MembershipDatagram message;
  size_t size;
  Sgr__MembershipRecord records[SGR_MEMBERSHIP_RECORDS_MAX];
  Sgr__MembershipRecord *record_pointers[SGR_MEMBERSHIP_RECORDS_MAX];
  ProtobufCBinaryData strings[SGR_MEMBERSHIP_STRINGS_MAX];
  uint16_t string_numbers[SGR_MEMBERSHIP_STRINGS_MAX];
  uint32_t fingerprints[SGR_MEMBERSHIP_FINGERPRINTS_MAX];
  sgr_node_id_t wanted[SGR_MEMBERSHIP_WANTED_MAX];
  uint32_t digests[SGR_MEMBERSHIP_GROUPS];
} sgr_membership_writer_t;

void sgr_membership_writer_begin (sgr_membership_writer_t *writer, sgr_membership_kind_t kind);

/**
 * sgr_membership_writer_add_record() - add a record if it fits
 * @writer: the datagram
 * @table: the records; unchanged until the datagram is finished
 * @handle: the record
 * @full: whether to include the descriptor; ignored for a record without one
 * @now_us: monotonic time
 * @suspected_by: low half of the id of the suspecting node, 0 for none
 * @limit: largest size of the datagram in bytes
 *
 * Return: false if it does not fit.
 */
bool sgr_membership_writer_add_record (sgr_membership_writer_t *writer,
                                       const sgr_membership_table_t *table, uint32_t handle,
                                       bool full, uint64_t now_us, uint32_t suspected_by,
                                       size_t limit);

/** sgr_membership_writer_add_fingerprint() - add one; false if there is no room */
bool sgr_membership_writer_add_fingerprint (sgr_membership_writer_t *writer, uint32_t fingerprint);

/** sgr_membership_writer_add_wanted() - add one; false if there is no room */
bool sgr_membership_writer_add_wanted (sgr_membership_writer_t *writer, sgr_node_id_t id);

void sgr_membership_writer_set_digests (sgr_membership_writer_t *writer, const uint32_t *digests);

/**
 * sgr_membership_writer_finish() - encode
 * @writer: the datagram
 * @bytes: receives at most SGR_MEMBERSHIP_DATAGRAM_MAX bytes
 *
 * Return: the length.
 */
size_t sgr_membership_writer_finish (sgr_membership_writer_t *writer, uint8_t *bytes);

/**
 * sgr_membership_message_decode() - decode and validate a datagram
 * @bytes: the datagram
 * @length: its length
 * @message: receives the content
 *
 * Return: SGR_OK or SGR_ERR_INVALID.
 */
sgr_result_t sgr_membership_message_decode (const uint8_t *bytes, size_t length,
                                            sgr_membership_message_t *message);

/** sgr_membership_name_is_valid() - 1 to SGR_NAME_MAX printable ASCII characters without spaces */
bool sgr_membership_name_is_valid (const char *name, size_t length);

#endif

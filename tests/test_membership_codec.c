#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "membership_budget.h"
#include "membership_codec.h"
#include "membership_queue.h"
#include "membership_sim.h"

#define RECORD_FAULTS 11
#define DATAGRAM_FAULTS 8

#define BUDGET_BYTES_PER_S 5000
#define SYNC_BUCKET_S 3
#define SYNC_BYTES 1200
#define PROBE_BYTES 80

/* The last datagram that any node of the test sent. */
static uint8_t last_sent[SGR_MEMBERSHIP_DATAGRAM_MAX];
static size_t last_sent_length;

static void
datagram_capture (void *ctx, const sgr_address_t *to, const uint8_t *bytes, size_t length)
{
  memcpy (last_sent, bytes, length);
  last_sent_length = length;
}

static sgr_membership_t *
membership_create (const char *name, uint32_t ip)
{
  static const sgr_membership_callbacks_t callbacks = { datagram_capture, NULL };
  sgr_membership_options_t options;
  sgr_membership_t *m;

  sgr_membership_options_init (&options);
  options.seed = ip;
  options.self = (sgr_member_t){ .boot = ip,
                                 .boot_time_ms = 100,
                                 .region = "r",
                                 .failure_domain = "d",
                                 .service = "s",
                                 .control_address = { ip, 7000 },
                                 .data_address = { ip, 7001 } };
  snprintf (options.self.name, sizeof options.self.name, "%s", name);
  assert_int_equal (sgr_membership_create (&options, &callbacks, NULL, 0, &m), SGR_OK);
  return m;
}

/* A valid datagram with one full record, not yet encoded, so that a test can corrupt its fields. */
typedef struct
{
  Sgr__MembershipDatagram datagram;
  Sgr__MembershipRecord record;
  Sgr__MembershipRecord *records[1];
  ProtobufCBinaryData strings[1];
  uint32_t values[256];
} datagram_parts_t;

static void
datagram_parts_init (datagram_parts_t *parts)
{
  sgr__membership_datagram__init (&parts->datagram);
  sgr__membership_record__init (&parts->record);
  parts->records[0] = &parts->record;
  parts->strings[0] = (ProtobufCBinaryData){ 3, (uint8_t *)"abc" };
  parts->datagram.version = SGR_MEMBERSHIP_VERSION;
  parts->datagram.kind = SGR_MEMBERSHIP_GOSSIP;
  parts->datagram.sender = 9;
  parts->datagram.boot = 9;
  parts->datagram.n_records = 1;
  parts->datagram.records = parts->records;
  parts->datagram.n_strings = 1;
  parts->datagram.strings = parts->strings;
  parts->datagram.fingerprints = parts->datagram.digests = parts->values;
  parts->record.name = (ProtobufCBinaryData){ 4, (uint8_t *)"host" };
  parts->record.boot = 5;
  parts->record.boot_time_ms = 50;
  parts->record.incarnation = 1;
  parts->record.region = parts->record.failure_domain = parts->record.service = 1;
  parts->record.ip = 0x0a000005;
  parts->record.control_port = 7000;
  parts->record.data_port = 7001;
}

/* Makes one field of the record invalid; @fault is below RECORD_FAULTS. */
static void
record_corrupt (datagram_parts_t *parts, int fault)
{
  static char long_name[] = "a-name-without-end-a-name-without-end-a-name-without-end-a-name-x";
  Sgr__MembershipRecord *record = &parts->record;

  switch (fault)
    {
    case 0:
      record->name = (ProtobufCBinaryData){ sizeof long_name - 1, (uint8_t *)long_name };
      break;
    case 1:
      record->name = (ProtobufCBinaryData){ 4, (uint8_t *)"a\0bc" };
      break;
    case 2:
      record->name = (ProtobufCBinaryData){ 4, (uint8_t *)"a bc" };
      break;
    case 3:
      record->region = 2;
      break;
    case 4:
      parts->strings[0] = (ProtobufCBinaryData){ sizeof long_name - 1, (uint8_t *)long_name };
      break;
    case 5:
      record->control_port = 65536;
      break;
    case 6:
      record->ip = 0;
      break;
    case 7:
      record->boot_time_ms = SGR_BOOT_TIME_MAX_MS;
      break;
    case 8:
      record->incarnation = UINT64_MAX;
      break;
    case 9:
      record->state = (SGR_TARGET_LEFT + 1) << 2;
      break;
    default:
      record->name.len = 0; /* the record has neither a name nor an id */
      break;
    }
}

/* Makes one field of the datagram invalid; @fault is below DATAGRAM_FAULTS. */
static void
datagram_corrupt (Sgr__MembershipDatagram *datagram, int fault)
{
  switch (fault)
    {
    case 0:
      datagram->version = 2;
      break;
    case 1:
      datagram->kind = 0;
      break;
    case 2:
      datagram->kind = SGR_MEMBERSHIP_PUSH + 1;
      break;
    case 3:
      datagram->sender = 0;
      break;
    case 4:
      datagram->n_digests = SGR_MEMBERSHIP_GROUPS;
      break;
    case 5:
      datagram->kind = SGR_MEMBERSHIP_DIGEST;
      datagram->n_digests = SGR_MEMBERSHIP_GROUPS - 1;
      break;
    case 6:
      datagram->n_fingerprints = SGR_MEMBERSHIP_FINGERPRINTS_MAX + 1;
      break;
    default:
      datagram->kind = SGR_MEMBERSHIP_PING_REQ; /* names no node to ping */
      break;
    }
}

/* Guards against malformed datagrams that are applied, even in part, or are not counted. */
static void
test_malformed_datagrams (void **state)
{
  sgr_membership_t *m = membership_create ("self", 1);
  sgr_address_t from = { 2, 7000 };
  uint8_t bytes[2 * SGR_MEMBERSHIP_DATAGRAM_MAX];
  uint64_t malformed = 0;
  datagram_parts_t parts;
  size_t length;

  for (int i = 0; i < RECORD_FAULTS + DATAGRAM_FAULTS; i++)
    {
      datagram_parts_init (&parts);
      if (i < RECORD_FAULTS)
        record_corrupt (&parts, i);
      else
        datagram_corrupt (&parts.datagram, i - RECORD_FAULTS);
      length = sgr__membership_datagram__pack (&parts.datagram, bytes);
      assert_int_equal (sgr_membership_datagram_receive (m, 1, &from, bytes, length),
                        SGR_ERR_INVALID);
      assert_int_equal (sgr_membership_counters (m)->malformed, ++malformed);
    }
  assert_int_equal (sgr_membership_datagram_receive (m, 1, &from, bytes, 0), SGR_ERR_INVALID);
  memset (bytes, 0, sizeof bytes);
  assert_int_equal (sgr_membership_datagram_receive (m, 1, &from, bytes, sizeof bytes),
                    SGR_ERR_INVALID);
  assert_int_equal (sgr_membership_size (m), 1);
  datagram_parts_init (&parts);
  length = sgr__membership_datagram__pack (&parts.datagram, bytes);
  assert_int_equal (sgr_membership_datagram_receive (m, 1, &from, bytes, length), SGR_OK);
  assert_int_equal (sgr_membership_size (m), 2);
  sgr_membership_destroy (m);
}

/* Guards against crashes and out-of-bounds reads on truncated, altered and random datagrams. */
static void
test_random_datagrams (void **state)
{
  sgr_membership_t *m = membership_create ("self", 1);
  sgr_address_t from = { 2, 7000 };
  uint8_t good[SGR_MEMBERSHIP_DATAGRAM_MAX];
  datagram_parts_t parts;
  size_t length;
  sgr_rng_t rng;

  sgr_rng_seed (&rng, 4);
  datagram_parts_init (&parts);
  length = sgr__membership_datagram__pack (&parts.datagram, good);
  for (uint32_t i = 0; i < 60000; i++)
    {
      size_t size = i % 2 == 0 ? sgr_rng_below (&rng, length) : length;
      /* On the heap, so that AddressSanitizer detects reads past the end; the extra byte keeps the
         allocation from being empty. */
      uint8_t *bytes = malloc (size + 1);

      /* Even rounds truncate the datagram and odd rounds alter a byte of it. Each 16th round uses
         random bytes instead. */
      memcpy (bytes, good, size);
      if (i % 2 == 1)
        bytes[sgr_rng_below (&rng, size)] = (uint8_t)sgr_rng_next (&rng);
      if (i % 16 == 15)
        for (size_t j = 0; j < size; j++)
          bytes[j] = (uint8_t)sgr_rng_next (&rng);
      sgr_membership_datagram_receive (m, i, &from, bytes, size);
      free (bytes);
    }
  assert_true (sgr_membership_counters (m)->malformed > 10000);
  sgr_membership_destroy (m);
}

/*
 * Guards against a replayed datagram that undoes newer changes: node b joins through node a and
 * leaves; its first datagram, received again, must not make it a member again.
 */
static void
test_replay (void **state)
{
  sgr_membership_t *a = membership_create ("a", 1);
  sgr_membership_t *b = membership_create ("b", 2);
  sgr_address_t address_a = { 1, 7000 };
  sgr_address_t address_b = { 2, 7000 };
  uint8_t join[SGR_MEMBERSHIP_DATAGRAM_MAX];
  size_t join_length;
  sgr_member_t member;

  sgr_membership_contact_add (b, &address_a);
  sgr_membership_tick (b, SGR_USEC_PER_SEC);
  join_length = last_sent_length;
  memcpy (join, last_sent, join_length);
  sgr_membership_datagram_receive (a, SGR_USEC_PER_SEC, &address_b, join, join_length);
  assert_int_equal (sgr_membership_size (a), 2);
  sgr_membership_datagram_receive (b, SGR_USEC_PER_SEC, &address_a, last_sent, last_sent_length);
  sgr_membership_leave (b, 2 * SGR_USEC_PER_SEC);
  sgr_membership_tick (b, 2 * SGR_USEC_PER_SEC);
  sgr_membership_datagram_receive (a, 2 * SGR_USEC_PER_SEC, &address_b, last_sent,
                                   last_sent_length);
  assert_int_equal (sgr_membership_size (a), 1);
  sgr_membership_datagram_receive (a, 3 * SGR_USEC_PER_SEC, &address_b, join, join_length);
  assert_int_equal (sgr_membership_size (a), 1);
  assert_int_equal (sgr_membership_member_get (a, sgr_node_id_of ("b"), &member), SGR_OK);
  assert_int_equal (member.status, SGR_MEMBER_LEFT);
  sgr_membership_destroy (a);
  sgr_membership_destroy (b);
}

/* Guards against routine updates that delay the update of a leaving target. */
static void
test_queue_order (void **state)
{
  sgr_membership_table_t table;
  sgr_membership_queue_t queue;
  uint32_t handles[8];

  sgr_membership_table_init (&table, 8);
  sgr_membership_queue_init (&queue);
  for (uint32_t i = 0; i < 5; i++)
    sgr_membership_table_add (&table, i + 1);
  sgr_membership_queue_put (&queue, &table, 0, SGR_MEMBERSHIP_ROUTINE, true);
  sgr_membership_queue_put (&queue, &table, 1, SGR_MEMBERSHIP_HEALTH, false);
  sgr_membership_queue_put (&queue, &table, 2, SGR_MEMBERSHIP_LEAVING, false);
  sgr_membership_queue_put (&queue, &table, 3, SGR_MEMBERSHIP_ROUTINE, false);
  sgr_membership_queue_count_send (&queue, &table, 0, 3);
  assert_int_equal (sgr_membership_queue_select (&queue, &table, handles, 8), 4);
  assert_int_equal (handles[0], 2);
  assert_int_equal (handles[1], 1);
  assert_int_equal (handles[2], 3); /* precedes record 0, because sent fewer times */
  assert_int_equal (handles[3], 0);
  for (int i = 0; i < 3; i++)
    sgr_membership_queue_count_send (&queue, &table, 2, 3);
  assert_int_equal (sgr_membership_queue_select (&queue, &table, handles, 8), 3);
  sgr_membership_queue_remove (&queue, &table, 1);
  assert_int_equal (queue.count[SGR_MEMBERSHIP_HEALTH], 0);
  sgr_membership_table_release (&table);
}

/* Guards against state transfers or received bytes that leave no bytes for failure detection. */
static void
test_budget_shares (void **state)
{
  sgr_membership_budget_t budget;
  uint64_t sync_bytes = 0;

  sgr_membership_budget_init (&budget, BUDGET_BYTES_PER_S, 0);
  for (uint64_t now_us = 0; now_us < 100 * SGR_USEC_PER_SEC; now_us += 10000)
    {
      sgr_membership_budget_refill (&budget, now_us);
      while (sgr_membership_budget_has (&budget, SGR_MEMBERSHIP_SYNC, SYNC_BYTES))
        {
          sgr_membership_budget_charge (&budget, SGR_MEMBERSHIP_SYNC, SYNC_BYTES, true);
          sync_bytes += SYNC_BYTES;
        }
      assert_true (sgr_membership_budget_has (&budget, SGR_MEMBERSHIP_DETECTION, PROBE_BYTES));
    }
  /* On an otherwise idle node, the state transfer gets most of the byte budget of 100 s, and never
     more than that budget plus one full bucket. */
  assert_true (sync_bytes > 90 * BUDGET_BYTES_PER_S);
  assert_true (sync_bytes <= 100 * BUDGET_BYTES_PER_S + SYNC_BUCKET_S * BUDGET_BYTES_PER_S);
  /* A flood of received bytes does not use the reserve, which pays for answers to probes. */
  for (uint64_t now_us = 100 * SGR_USEC_PER_SEC; now_us < 110 * SGR_USEC_PER_SEC; now_us += 1000)
    {
      sgr_membership_budget_refill (&budget, now_us);
      for (int share = SGR_MEMBERSHIP_DETECTION; share < SGR_MEMBERSHIP_SHARES; share++)
        sgr_membership_budget_charge (&budget, (sgr_membership_share_t)share, 1000, false);
    }
  assert_true (sgr_membership_budget_has (&budget, SGR_MEMBERSHIP_DETECTION, PROBE_BYTES));
  assert_false (sgr_membership_budget_has (&budget, SGR_MEMBERSHIP_SYNC, PROBE_BYTES));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_malformed_datagrams),
    cmocka_unit_test (test_random_datagrams),
    cmocka_unit_test (test_replay),
    cmocka_unit_test (test_queue_order),
    cmocka_unit_test (test_budget_shares),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}

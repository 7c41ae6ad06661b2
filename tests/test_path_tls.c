#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "node_fixture.h"

/* Callers that use TLS, with a self-signed certificate that the test creates. */

#define CERTIFICATE_VALIDITY_S 86400

static sgr_fixture_t fixture;
static char certificate_path[96];
static char key_path[96];

static bool
certificate_create (void)
{
  EVP_PKEY *key = EVP_EC_gen ("P-256");
  X509 *certificate = X509_new ();
  X509_NAME *name = X509_get_subject_name (certificate);
  FILE *file;
  bool is_written;

  ASN1_INTEGER_set (X509_get_serialNumber (certificate), 1);
  X509_gmtime_adj (X509_getm_notBefore (certificate), 0);
  X509_gmtime_adj (X509_getm_notAfter (certificate), CERTIFICATE_VALIDITY_S);
  X509_NAME_add_entry_by_txt (name, "CN", MBSTRING_ASC, (const unsigned char *)"test", -1, -1, 0);
  X509_set_issuer_name (certificate, name);
  X509_set_pubkey (certificate, key);
  is_written = X509_sign (certificate, key, EVP_sha256 ()) > 0;
  file = fopen (certificate_path, "w");
  is_written = is_written && PEM_write_X509 (file, certificate) == 1;
  fclose (file);
  file = fopen (key_path, "w");
  is_written = is_written && PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL) == 1;
  fclose (file);
  X509_free (certificate);
  EVP_PKEY_free (key);
  return is_written;
}

/* Sends a request and reads to the end of the connection. Copies the first bytes received to @head.
   Returns the number of bytes received, -1 if the TLS handshake failed. */
static long
tls_call (const char *fields, const char *path, const char *alpn, char *head, size_t size)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  SSL *ssl = SSL_new (context);
  int fd = sgr_probe_connect (fixture.nodes[0].callers);
  char request[512];
  char buffer[65536];
  long total = 0;
  int received;

  head[0] = '\0';
  if (alpn != NULL)
    SSL_set_alpn_protos (ssl, (const unsigned char *)alpn, (unsigned)strlen (alpn));
  SSL_set_fd (ssl, fd);
  if (SSL_connect (ssl) != 1)
    total = -1;
  snprintf (request, sizeof request,
            "GET %s HTTP/1.1\r\nHost: one\r\nX-Request-Id: t\r\nConnection: close\r\n%s\r\n", path,
            fields);
  if (total == 0)
    SSL_write (ssl, request, (int)strlen (request));
  while (total >= 0 && (received = SSL_read (ssl, buffer, sizeof buffer)) > 0)
    {
      if (total == 0)
        snprintf (head, size, "%.*s", received, buffer);
      total += received;
    }
  SSL_free (ssl);
  SSL_CTX_free (context);
  close (fd);
  return total;
}

static int
group_setup (void **state)
{
  static char tls_settings[256];
  char head[256];

  sgr_fixture_init (&fixture);
  snprintf (certificate_path, sizeof certificate_path, "%s/node.pem", fixture.directory);
  snprintf (key_path, sizeof key_path, "%s/key.pem", fixture.directory);
  if (!certificate_create ())
    return -1;
  snprintf (tls_settings, sizeof tls_settings, "tls:\n  certificate: %s\n  key: %s\n",
            certificate_path, key_path);
  fixture.extra_settings = tls_settings;
  sgr_fixture_node_add (&fixture, "gate", "one", false);
  if (!sgr_fixture_processes_start (&fixture))
    return -1;
  do
    {
      sgr_fixture_poll_sleep ();
      tls_call ("", "/", NULL, head, sizeof head);
    }
  while (strncmp (head, "HTTP/1.1 200", 12) != 0);
  return 0;
}

static int
group_teardown (void **state)
{
  unlink (certificate_path);
  unlink (key_path);
  sgr_fixture_stop (&fixture);
  return 0;
}

/* Guards against an answer that is altered over TLS, and against a truncated answer that the caller
   cannot recognize as truncated. */
static void
test_answers_over_tls (void **state)
{
  char head[256];

  assert_true (tls_call ("", "/bytes/1000000", NULL, head, sizeof head) > 1000000);
  assert_non_null (strstr (head, "content-length: 1000000") != NULL
                       ? head
                       : strstr (head, "Content-Length: 1000000"));
  /* A truncated answer has fewer bytes than its Content-Length. */
  assert_in_range (tls_call ("X-Fault: cut\r\n", "/bytes/1000000", NULL, head, sizeof head), 1,
                   999999);
}

/* Guards against a node that answers plain HTTP on the TLS port, or fails TLS calls afterwards. */
static void
test_plain_on_tls_port (void **state)
{
  sgr_probe_request_t request = { .port = fixture.nodes[0].callers, .path = "/" };
  sgr_probe_answer_t answer;
  char head[256];

  sgr_probe_call (&request, &answer);
  assert_int_not_equal (answer.end, SGR_PROBE_WHOLE);
  sgr_probe_release (&answer);
  assert_true (tls_call ("", "/", NULL, head, sizeof head) > 0);
}

/* Guards against a node that does not choose HTTP/2 when the caller offers it. */
static void
test_http2_is_negotiated (void **state)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  SSL *ssl = SSL_new (context);
  int fd = sgr_probe_connect (fixture.nodes[0].callers);
  const unsigned char *selected_protocol;
  unsigned length;

  SSL_set_alpn_protos (ssl, (const unsigned char *)"\2h2\10http/1.1", 12);
  SSL_set_fd (ssl, fd);
  assert_int_equal (SSL_connect (ssl), 1);
  SSL_get0_alpn_selected (ssl, &selected_protocol, &length);
  assert_int_equal (length, 2);
  assert_memory_equal (selected_protocol, "h2", 2);
  SSL_free (ssl);
  SSL_CTX_free (context);
  close (fd);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answers_over_tls),
    cmocka_unit_test (test_plain_on_tls_port),
    cmocka_unit_test (test_http2_is_negotiated),
  };

  return cmocka_run_group_tests (tests, group_setup, group_teardown);
}
